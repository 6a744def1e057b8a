#!/usr/bin/env node
import { runSlopes } from "@pimentocleat/bench";

process.exitCode = await runSlopes(process.argv);
