#!/usr/bin/env node
/** Entry point of the `chutewick` command: runs the programs and holds the commands of operators. */
import { access } from "@chutewick/access";
import { control } from "@chutewick/control-program";
import { storage } from "@chutewick/storage";
import { run, subcommands } from "cmd-ts";
import {
  configurationCommands,
  labelCommand,
  machineCommands,
  metricsCommand,
  seasonCommands,
  statusCommand,
} from "./operate.js";

const program = subcommands({
  name: "chutewick",
  version: "0.1.0",
  description: "a serving tier with a batch interface",
  cmds: {
    access,
    storage,
    control,
    configuration: configurationCommands,
    label: labelCommand,
    season: seasonCommands,
    machine: machineCommands,
    metrics: metricsCommand,
    status: statusCommand,
  },
});

void run(program, process.argv.slice(2));
