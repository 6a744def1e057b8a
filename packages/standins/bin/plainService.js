#!/usr/bin/env node
import { runPlainServiceProgram } from "../lib/index.js";

await runPlainServiceProgram();
