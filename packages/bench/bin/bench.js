#!/usr/bin/env node
import { runBenchCommand } from "@pimentocleat/bench";

await runBenchCommand(process.argv);
