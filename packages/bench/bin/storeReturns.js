#!/usr/bin/env node
import { runStoreReturnCommand } from "@pimentocleat/bench";

process.exitCode = await runStoreReturnCommand(process.argv);
