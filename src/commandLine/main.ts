#!/usr/bin/env node
/** `pomelocleat`: the operators' client. */
import { createCli } from "./cli.ts";

process.exitCode = await createCli(process.stdout.isTTY).run(process.argv.slice(2));
