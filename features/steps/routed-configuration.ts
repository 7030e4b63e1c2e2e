import type { Configuration } from "@chutewick/control";

/** A configuration with so many routes, as an operator of a site of that size has it; one route differs in each change. */
export function routedConfiguration(routes: number, change: number): Partial<Configuration> {
  const passages: Configuration["passages"] = {};
  for (let number = 0; number < routes; number += 1) {
    passages[`r-${String(number).padStart(7, "0")}`] = {
      host: `ficu${number % 40}.example`,
      prefix: `/pufi${number}/`,
      kind: number % 4 === 0 ? "lot" : "stream",
      pools: [{ pool: `huvo${number % 6}a`, weight: 100 }],
      rank: 0,
      goesMost: 2,
      guard: number === change % routes ? 3_000 + change : 3_000,
      aim: 300,
      gap: 300,
      resumable: true,
      affinity: true,
      waitingTokens: 0,
    };
  }
  const pools: Configuration["pools"] = {};
  for (let number = 0; number < 6; number += 1)
    pools[`huvo${number}a`] = {
      models: ["m"],
      seats: 16,
      memoryTokens: 232_000,
      connections: 180,
      probePath: "/health",
    };
  return { pools, passages };
}
