/** Data folders in which the scenarios on starts begin. */
import fs from "node:fs";
import { join } from "node:path";
import { open } from "lmdb";
import type { Files } from "./crashing-files.js";
import { usedBytes } from "./folder.js";

/** Bytes of a page of an lmdb file. */
export const pageSize = 4_096;

/** A copy of a database with zeros from one page up to another. */
export function withoutPages(bytes: Buffer, from: number, to: number): Buffer {
  return Buffer.from(bytes).fill(0, from * pageSize, Math.min(to * pageSize, bytes.length));
}

/** An lmdb file with a transaction, but without the metadata record. */
async function databaseWithoutMetadata(folder: string): Promise<Buffer> {
  const other = `${folder}-other`;
  const database = open({ path: other });
  await database.put("votes", {});
  await database.close();
  const bytes = fs
    .readFileSync(join(other, "data.mdb"))
    .subarray(0, usedBytes(join(other, "data.mdb")));
  fs.rmSync(other, { recursive: true });
  return bytes;
}

/** The folders in which the starts begin, by the words of the scenarios; `sound` is a folder with an acknowledged record. */
export const initialFolders: Readonly<
  Record<string, (sound: Files, folder: string) => Files | Promise<Files>>
> = {
  "is empty": () => ({}),
  "holds a sound database": (sound) => sound,
  "holds a sound database without its marker": ({ "data.mdb": database }) =>
    filesOf({ "data.mdb": database }),
  "holds a damaged database": (sound) => ({ ...sound, "data.mdb": cutOff(sound) }),
  "holds a damaged database and an older one set aside": (sound) => ({
    ...sound,
    "data.mdb": cutOff(sound),
    "data.mdb.damaged": withoutPages(sound["data.mdb"]!, 2, 4),
  }),
  "holds a database whose pages are zeros": (sound) => ({
    ...sound,
    "data.mdb": withoutPages(sound["data.mdb"]!, 2, Infinity),
  }),
  "holds a database without its first meta page": (sound) => ({
    ...sound,
    "data.mdb": withoutPages(sound["data.mdb"]!, 0, 1),
  }),
  "holds a database without its second meta page": (sound) => ({
    ...sound,
    "data.mdb": withoutPages(sound["data.mdb"]!, 1, 2),
  }),
  "holds a database without its metadata record": async (sound, folder) => ({
    ...sound,
    "data.mdb": await databaseWithoutMetadata(folder),
  }),
  "holds a database set aside": (sound) => ({ "data.mdb.damaged": cutOff(sound) }),
  "holds a database set aside beside its marker": (sound) => ({
    begun: sound.begun!,
    "data.mdb.damaged": cutOff(sound),
  }),
  "holds a replacement beside the database set aside": (sound) => sound,
  "holds a marker without its database": ({ begun }) => filesOf({ begun }),
  "holds a marker beside a database without a transaction": ({ begun }, folder) => ({
    begun: begun!,
    "data.mdb": blankDatabase(folder),
  }),
  "holds a marker beside an empty file": ({ begun }) => ({
    begun: begun!,
    "data.mdb": Buffer.alloc(0),
  }),
  "holds a marker, an empty file and a database set aside": (sound) => ({
    begun: sound.begun!,
    "data.mdb": Buffer.alloc(0),
    "data.mdb.damaged": cutOff(sound),
  }),
};

function filesOf(given: Record<string, Buffer | undefined>): Files {
  return given as Files;
}

/** The database without its last used page. */
export function cutOff({ "data.mdb": database }: Files): Buffer {
  return database!.subarray(0, database!.length - pageSize);
}

/** The file as lmdb creates it. */
export function blankDatabase(folder: string): Buffer {
  const other = `${folder}-blank`;
  const database = open({ path: other });
  const bytes = fs.readFileSync(join(other, "data.mdb"));
  void database.close();
  fs.rmSync(other, { recursive: true });
  return bytes;
}
