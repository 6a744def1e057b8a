#!/usr/bin/env node
import { runOperatorProcess } from "../lib/index.js";

await runOperatorProcess();
