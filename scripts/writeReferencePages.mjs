/**
 * Writes the reference pages that are generated from the schemas. Run through tsx.
 */
import { writeFileSync } from "node:fs";
import { formatConfigurationPage } from "../packages/schema/src/configuration/configurationPage.ts";
import { formatSettingsPage } from "../packages/schema/src/settings/settingDescriptions.ts";

writeFileSync("docs/SETTINGS.md", formatSettingsPage());
writeFileSync("docs/CONFIGURATION.md", formatConfigurationPage());
