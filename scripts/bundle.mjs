// Bundles the daemon of the operators' platform from the sources into target/. Code that a daemon without arguments does not need
// (the command line) is a separate file, so that a start does not read it. Files are replaced atomically, so that a process which
// starts meanwhile reads the previous or the new file, never a part of one.
import { mkdirSync, realpathSync, renameSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import { argv } from "node:process";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const root = fileURLToPath(new URL("..", import.meta.url));
const source = (path) => `${root}${path}`;

const options = {
  absWorkingDir: root,
  entryPoints: ["deploy/gladewalld.ts"],
  outExtension: { ".js": ".mjs" },
  bundle: true,
  splitting: true,
  // Half of the start-up time is spent on reading the sources. Names are kept, so that stack traces stay readable.
  minifyWhitespace: true,
  minifySyntax: true,
  platform: "node",
  target: "node20",
  format: "esm",
  legalComments: "none",
  logLevel: "warning",
  alias: {
    "@gladewall/kernel/commandLine": source("packages/kernel/src/commandLine.ts"),
    "@gladewall/kernel": source("packages/kernel/src/index.ts"),
    "@gladewall/coordination": source("packages/coordination/src/index.ts"),
    "@gladewall/policy": source("packages/policy/src/index.ts"),
    "@gladewall/gateway": source("packages/gateway/src/index.ts"),
    "@gladewall/platform": source("platform/src/index.ts"),
  },
  // CommonJS packages inside a module need the variables that CommonJS provides. They get names of their own here, because some
  // packages declare the usual names themselves.
  define: { __filename: "__bundleFile", __dirname: "__bundleFolder" },
  banner: {
    js: [
      'import { createRequire as __createRequire } from "node:module";',
      'import { fileURLToPath as __fileURLToPath } from "node:url";',
      "const require = __createRequire(import.meta.url);",
      "const __bundleFile = __fileURLToPath(import.meta.url);",
      'const __bundleFolder = __bundleFile.slice(0, __bundleFile.lastIndexOf("/"));',
    ].join("\n"),
  },
};

/** Bundles the daemon into a folder of the repository, with additional bundler plug-ins. */
export async function bundle(outdir = "target", plugins = []) {
  const { outputFiles } = await build({ ...options, outdir, plugins, write: false });
  for (const { path, contents } of outputFiles) {
    const written = `${path}.${process.pid}`;
    mkdirSync(dirname(path), { recursive: true });
    writeFileSync(written, contents);
    renameSync(written, path);
  }
}

if (argv[1] && realpathSync(argv[1]) === fileURLToPath(import.meta.url)) await bundle();
