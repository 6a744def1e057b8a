#!/usr/bin/env node
import { SystemClock } from "@pimentocleat/types";
import { measureParse } from "../lib/spread/measureParse.js";

const [servers = 7_900, rounds = 11] = process.argv.slice(2).map(Number);
process.stdout.write(`${JSON.stringify(measureParse({ clock: new SystemClock(), servers, rounds }))}\n`);
