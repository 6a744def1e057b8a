#!/usr/bin/env node
import { runEngineProgram } from "../lib/index.js";

await runEngineProgram();
