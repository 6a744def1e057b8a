/**
 * Writes docs/LOG-EVENTS.md and docs/METRICS.md from the catalogues in the code.
 */
import { logEvents, metricDefinitions } from "@pimentocleat/telemetry";
import { writeFileSync } from "node:fs";

const eventRows = Object.entries(logEvents)
    .sort(([, left], [, right]) => left.number - right.number)
    .map(([name, event]) => `| ${event.number} | ${event.level} | \`${name}\` | ${event.text} |`);

const eventPage = `# Log events

Generated from packages/telemetry/src/logEvents.ts by \`npm run generate\`. Each line of the log carries the number, the name
and the text of one event; values are separate fields, and no field is a secret. Numbers are stable: 1000 process, 2000
requests, 3000 configuration and keys, 4000 leases and orders, 5000 usage, 6000 peers, 7000 backend servers.

| number | level | name | text |
| --- | --- | --- | --- |
${eventRows.join("\n")}
`;

const metricRows = Object.entries(metricDefinitions)
    .sort(([left], [right]) => left.localeCompare(right))
    .map(
        ([name, metric]) =>
            `| \`${name}\` | ${metric.kind} | ${metric.unit} | ${metric.tags.join(", ") || "-"} | ${metric.description} |`,
    );

const metricPage = `# Metrics

Generated from packages/telemetry/src/metrics.ts by \`npm run generate\`. Sent over StatsD; every metric also carries the
tags \`node\` and \`data_centre\`.

| name | kind | unit | tags | meaning |
| --- | --- | --- | --- | --- |
${metricRows.join("\n")}
`;

writeFileSync("docs/LOG-EVENTS.md", eventPage);
writeFileSync("docs/METRICS.md", metricPage);
