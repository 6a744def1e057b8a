#!/usr/bin/env node
import { runLinkedNodeCommand } from "@pimentocleat/bench";

process.exit(await runLinkedNodeCommand(process.argv.slice(2)));
