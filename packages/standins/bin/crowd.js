#!/usr/bin/env node
import { runCrowdProgram } from "../lib/index.js";

runCrowdProgram();
