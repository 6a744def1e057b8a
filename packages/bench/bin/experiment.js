#!/usr/bin/env node
import { runExperimentCommand } from "@pimentocleat/bench";

await runExperimentCommand(process.argv);
