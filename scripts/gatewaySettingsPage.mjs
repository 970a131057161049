// Writes docs/operating/gateway-settings.md from the settings schema. A test checks that the page matches the schema.
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { gatewaySchema } from "@gladewall/gateway";
import { formatSettingsReference } from "@gladewall/kernel";

const page = fileURLToPath(new URL("../docs/operating/gateway-settings.md", import.meta.url));
writeFileSync(
  page,
  `# Settings of a gateway instance\n\n${formatSettingsReference(gatewaySchema).trimEnd()}\n`,
);
