#!/usr/bin/env node
import { runSoakCommand } from "@pimentocleat/bench";

process.exitCode = await runSoakCommand(process.argv);
