#!/usr/bin/env node
import { runPartitionCommand } from "@pimentocleat/bench";

process.exitCode = await runPartitionCommand(process.argv);
