/**
 * Generates docs/LOG-EVENTS.md, docs/METRICS.md and docs/ERRORS.md from the catalogues of log events, metrics and
 * errors in the code.
 */
import { logEvents, metricDefinitions } from "@pimentocleat/telemetry";
import { errorAnswers } from "@pimentocleat/types";
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

const errorRows = Object.entries(errorAnswers).map(
    ([kind, answer]) =>
        `| \`${kind}\` | ${answer.status} | ${answer.executed} | ${answer.retryAfter ? "yes" : "-"} | ${answer.description} |`,
);

const errorPage = `# Errors

Generated from packages/types/src/errorKinds.ts by \`npm run generate\`. Everything that a caller can receive in place of
its answer has one of these kinds, as \`{"error":{"kind","message","executed","requestId"}}\`, with \`x-request-id\`.

- \`executed\` is a claim about backend servers. \`no\` is a promise: no byte of the request reached one, or it said with
  status 401, 429 or 503 (an engine also with 404, model not loaded) and \`x-executed: no\` that it rejected the request
  before running it. \`unknown\` is the absence of
  that promise. The table gives the default; a request that was sent overrides \`no\` by \`unknown\`, and one that was
  provably not sent overrides \`unknown\` by \`no\`.
- \`Retry-After\` is in whole seconds, rounded up.
- A stream that has begun ends with \`event: error\` and the same body as \`data:\`, without \`[DONE]\`, and the connection ends.
- Each refusal counts in the metric \`request.refused\` by kind, each retry in \`request.retried\` by reason.

| kind | status | executed | Retry-After | meaning |
| --- | --- | --- | --- | --- |
${errorRows.join("\n")}
`;

writeFileSync("docs/ERRORS.md", errorPage);
writeFileSync("docs/LOG-EVENTS.md", eventPage);
writeFileSync("docs/METRICS.md", metricPage);
