#!/usr/bin/env node
import { runMeasureEngine } from "../lib/index.js";

await runMeasureEngine({ parameters: process.argv.slice(2), environment: process.env });
