#!/usr/bin/env node
import { runPlatformProgram } from "../lib/index.js";

await runPlatformProgram();
