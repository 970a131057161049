/**
 * Explains decisions in plain sentences. Each decision rule has a template that is filled from the decision's inputs.
 * @module
 */
import { PriceClass } from "@gladewall/coordination";
import { failureDefinitions } from "@gladewall/kernel";
import { type PlacementAlternative, type DecisionRecord, DecisionRule } from "./types.js";

/** Sentence template of each rule; `{name}` is replaced by the input of that name. */
export const reasonTemplates: Readonly<Record<DecisionRule, string>> = {
  [DecisionRule.RowAdmitted]:
    "Row {row} of table version {version} admitted it with priority {priority} and about {tokens} tokens to read.",
  [DecisionRule.Refused]: "It was refused: {text}.",
  [DecisionRule.QueuedBehind]: "It waited {wait} ms behind {ahead} others of service {service}.",
  [DecisionRule.ServedAtOnce]: "It did not wait: an endpoint of service {service} had room.",
  [DecisionRule.CopyHeld]:
    "Entry {backup} in data hall {hall} holds a copy, so that it survives the loss of this entry.",
  [DecisionRule.NoBackup]: "No other entry could hold a copy: {text}.",
  [DecisionRule.ClaimWon]: "It may run only once; this entry's claim was recorded before anything was sent.",
  [DecisionRule.ClaimLost]: "It was not sent: request {other} had claimed the same key before.",
  [DecisionRule.PlacedByScore]:
    "It was placed on {endpoint} in data hall {hall} as attempt {attempt}, with the best score of {count} endpoints.",
  [DecisionRule.RetriedElsewhere]:
    "Attempt {attempt} on {endpoint} failed ({text}) and it was sent elsewhere.",
  [DecisionRule.NotRetried]: "It was not sent again after attempt {attempt} on {endpoint}: {text}.",
  [DecisionRule.LetFinish]:
    "Endpoint {endpoint} is leaving in {remaining} ms; it was let finish, which takes about {needed} ms.",
  [DecisionRule.MovedWithCache]:
    "Endpoint {endpoint} is leaving in {remaining} ms and it needed about {needed} ms more; it was moved elsewhere with its cache after {emitted} tokens.",
  [DecisionRule.RerunFromEmitted]:
    "Endpoint {endpoint} is leaving or lost; it went on elsewhere from the {emitted} tokens already given.",
  [DecisionRule.TakenOver]: "Entry {holder} was lost; entry {entry} took it over at {emitted} tokens.",
  [DecisionRule.HandedOver]: "Entry {holder} is leaving and handed it over to entry {entry}.",
  [DecisionRule.Finished]:
    "It finished after {total} ms; the first token or byte came after {first} ms; {output} tokens were given.",
  [DecisionRule.Failed]: "It ended without a whole answer: {text}.",
  [DecisionRule.Attached]: "It has the same key as request {other}, whose answer it gets.",
  [DecisionRule.SentWithoutClaim]:
    "The key-value service was down; having no key of its caller's, it was sent once without a claim.",
  [DecisionRule.CallerLeft]: "Its caller went away and its run was cancelled.",
};

const priceClassNames: Readonly<Record<PriceClass, string>> = {
  [PriceClass.Reclaimable]: "reclaimable",
  [PriceClass.OnDemand]: "on demand",
};

function formatNumber(value: string | number): string {
  if (typeof value === "string") return value;
  return Number.isInteger(value) ? String(value) : value.toFixed(1);
}

/** Returns the sentence for one decision; a missing input shows as `?`. */
export function formatReason(decision: DecisionRecord): string {
  const fill = (_: string, name: string): string => formatNumber(decision.inputs[name] ?? "?");
  return reasonTemplates[decision.rule].replace(/\{(\w+)\}/g, fill);
}

function formatAlternative(alternative: PlacementAlternative): string {
  const { endpoint, hall, priceClass, score, waitMs, cachedTokens } = alternative;
  const figures = `score ${score.toFixed(1)}, expected wait ${waitMs.toFixed(1)} ms, ${cachedTokens} tokens cached`;
  return `  ${endpoint} (${hall}, ${priceClassNames[priceClass]}): ${figures}`;
}

/** Returns all decisions of a request as lines of plain text, in the given order, with the alternatives of each. */
export function formatExplanation(request: string, decisions: readonly DecisionRecord[]): string {
  const lines = [`Request ${request}:`];
  const start = decisions[0]?.time ?? 0;
  for (const decision of decisions) {
    lines.push(
      `- after ${Math.round(decision.time - start)} ms, entry ${decision.entry}: ${formatReason(decision)}`,
    );
    if (decision.failure !== undefined)
      lines.push(
        `  failure ${decision.failure}, outcome as in the table: status ${failureDefinitions[decision.failure].status}`,
      );
    lines.push(...decision.alternatives.map(formatAlternative));
  }
  return lines.join("\n");
}
