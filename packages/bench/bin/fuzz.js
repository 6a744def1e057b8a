#!/usr/bin/env node
import { runFuzzCommand } from "@pimentocleat/bench";

process.exitCode = await runFuzzCommand(process.argv);
