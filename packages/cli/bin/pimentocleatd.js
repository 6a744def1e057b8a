#!/usr/bin/env node
import { runDaemonProcess } from "../lib/index.js";

await runDaemonProcess();
