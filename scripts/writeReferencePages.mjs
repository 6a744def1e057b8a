/**
 * Generates docs/SETTINGS.md and docs/CONFIGURATION.md from the schemas. Must be run with tsx, since it imports
 * TypeScript sources.
 */
import { writeFileSync } from "node:fs";
import { formatConfigurationPage } from "../packages/schema/src/configuration/configurationPage.ts";
import { formatSettingsPage } from "../packages/schema/src/settings/settingDescriptions.ts";

writeFileSync("docs/SETTINGS.md", formatSettingsPage());
writeFileSync("docs/CONFIGURATION.md", formatConfigurationPage());
