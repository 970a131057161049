/**
 * The settings of `gladewalld`: each key with its unit, default, range and description.
 * @module
 */
import {
  createAddress,
  createAddressList,
  createChoice,
  createDecimal,
  createFlag,
  createInteger,
  markReloadable,
  createSecret,
  createText,
  formatSettingsReference,
  type SettingsOf,
} from "@gladewall/kernel";

const mebibyte = 1_048_576;

/** Schema of the settings. Section and key names are those of the INI file. */
export const entrySchema = {
  entry: {
    name: createText("Name of this entry, unique among entries."),
    incarnation: createInteger(
      "",
      0,
      [0, 9e15],
      "Number that grows with each start under the same name; 0 takes the wall clock.",
    ),
    hall: createText("Data hall this entry stands in."),
    price_class: createChoice(["reclaimable", "on-demand"], "reclaimable", "How this instance is paid for."),
    notice_lead: createInteger(
      "ms",
      5_000,
      [100, 600_000],
      "How long before its end a leaving entry has handed everything over.",
    ),
  },
  front: {
    listen: createAddress("Callers' address; port 0 takes a free one.", "127.0.0.1:0"),
    header_bytes: createInteger("bytes", 16_384, [1024, 1_048_576], "Largest header block of a request."),
    header_timeout: createInteger(
      "ms",
      10_000,
      [100, 600_000],
      "Longest time for a request's headers to arrive.",
    ),
    body_bytes: createInteger(
      "bytes",
      8 * mebibyte,
      [1024, 1_073_741_824],
      "Largest body of a model request.",
    ),
    upload_bytes: createInteger(
      "bytes",
      64 * mebibyte,
      [1024, 17_179_869_184],
      "Largest body of a web request.",
    ),
    body_timeout: createInteger(
      "ms",
      30_000,
      [100, 3_600_000],
      "Longest time without a byte of a request's body.",
    ),
    write_timeout: createInteger(
      "ms",
      60_000,
      [100, 3_600_000],
      "Longest time in which a caller takes no byte of its answer.",
    ),
    connections: createInteger("connections", 4_096, [1, 1_000_000], "Connections of callers at once."),
    trusted_proxies: createInteger(
      "proxies",
      0,
      [0, 16],
      "Balancers in front whose X-Forwarded-For is believed.",
    ),
  },
  operators: {
    listen: createAddress("Operators' address; port 0 takes a free one.", "127.0.0.1:0"),
    key_hash: createText("SHA-256 in hex of the operator key; empty refuses all but health and metrics.", ""),
  },
  peers: {
    listen: createAddress("Address for links between entries; port 0 takes a free one.", "127.0.0.1:0"),
    advertise: createText(
      "Address at which peers reach this entry, host:port; empty takes where it listens.",
      "",
    ),
    seeds: createAddressList("Peers to greet before the instance list is known."),
    secret: createSecret("Secret that all entries share; at least 16 characters."),
    ping_interval: createInteger("ms", 500, [20, 60_000], "Time between signs of life on a link."),
    outbox_bytes: createInteger(
      "bytes",
      33_554_432,
      [65_536, 1_073_741_824],
      "Bytes that may wait for a slow peer.",
    ),
    lost_after: createInteger("ms", 2_000, [50, 600_000], "Silence after which a peer counts as lost."),
    links: createInteger(
      "links",
      16,
      [1, 1_000],
      "Links an entry opens; above this many peers they are chosen by hash.",
    ),
  },
  platform: {
    key_value: createText("Plug-in of the key-value service.", "http-kv"),
    key_value_address: createAddress("Address of the key-value service."),
    instance_list: createText("Plug-in of the instance list.", "http-list"),
    instance_list_address: createAddress("Address of the instance list."),
    notices: createText("Plug-in of reclaim notices.", "http-notices"),
    notices_address: createAddress("Address of the cloud's notices."),
    timeout: createInteger("ms", 2_000, [50, 60_000], "Longest time for a call on the platform."),
    list_interval: markReloadable(
      createInteger("ms", 1_000, [20, 600_000], "Time between readings of the instance list."),
    ),
    prefix: createText("Prefix of this system's keys in the key-value service.", "gladewall/"),
    calls_per_second: createDecimal(
      "calls/s",
      40,
      [0.1, 10_000],
      "This entry's part of the key-value service's rates.",
    ),
  },
  configuration: {
    current_within: createInteger(
      "ms",
      6_000,
      [100, 600_000],
      "Time without word from service and peers after which this entry is not ready.",
    ),
    watch_wait: createInteger("ms", 2_000, [50, 600_000], "Longest wait of one watch."),
  },
  requests: {
    default_class: markReloadable(createText("Class of a request that names none.", "standard")),
    deadline: markReloadable(createInteger("ms", 300_000, [100, 86_400_000], "Longest life of a request.")),
    queue: createInteger(
      "requests",
      1_000,
      [1, 1_000_000],
      "Requests of one service that may wait in this entry.",
    ),
    starvation_bound: createInteger(
      "ms",
      5_000,
      [10, 3_600_000],
      "Wait after which a passed-over request is served next.",
    ),
    engine_slack: createDecimal(
      "",
      0.25,
      [0, 10],
      "Part of an endpoint's width that may queue at the endpoint.",
    ),
    retry_fraction: createDecimal("", 0.1, [0, 1], "Retries allowed for each success."),
    attempts: createInteger("attempts", 6, [1, 100], "Most attempts of one request."),
    refuse_late: markReloadable(createFlag(true, "Refuse at the door what cannot meet its latency target.")),
    copy_bytes: createInteger(
      "bytes",
      262_144,
      [0, 16 * mebibyte],
      "Largest body that is held and copied to a backup.",
    ),
    hold_bytes: createInteger(
      "bytes",
      mebibyte,
      [0, 1_073_741_824],
      "Largest answer that is held for callers that come back.",
    ),
    hold_time: createInteger("ms", 60_000, [0, 86_400_000], "How long a finished answer is held."),
    hold_total: createInteger("bytes", 64 * mebibyte, [mebibyte, 17_179_869_184], "Memory for held answers."),
    resume_grace: createInteger(
      "ms",
      2_000,
      [0, 3_600_000],
      "How long a run without a key goes on after its caller left.",
    ),
  },
  backups: {
    ack_timeout: createInteger("ms", 500, [10, 60_000], "Longest wait for a peer's answer."),
    progress_interval: createInteger(
      "ms",
      10,
      [0, 10_000],
      "Least time between two groups of progress to one backup.",
    ),
    commit_output: createFlag(true, "Give callers a token only when the backup has it."),
    takeover_after: createInteger(
      "ms",
      1_000,
      [0, 600_000],
      "Time after a link's loss at which its peer's requests are taken over.",
    ),
    locate_patience: createInteger(
      "ms",
      5_000,
      [0, 600_000],
      "How long an answer is looked for while its holder may be changing.",
    ),
    locate_pause: createInteger("ms", 200, [10, 60_000], "Time between two such looks."),
  },
  limits: {
    loan: createInteger("ms", 2_000, [100, 600_000], "How long a share of a row is lent."),
    ask_interval: createInteger(
      "ms",
      500,
      [20, 60_000],
      "Time between two questions for a share that is in use.",
    ),
  },
  claims: {
    shards: createInteger(
      "shards",
      8,
      [1, 1_024],
      "Values that claims are spread over; the same in all entries.",
    ),
    interval: createInteger("ms", 100, [0, 60_000], "Least time between two swaps of a shard."),
    patience: createInteger(
      "ms",
      1_500,
      [10, 60_000],
      "Time after which a claim that cannot be recorded is given up.",
    ),
    peer_timeout: createInteger("ms", 600, [10, 60_000], "Longest wait for a shard's usual writer."),
    retention: createInteger(
      "ms",
      3_600_000,
      [1_000, 604_800_000],
      "How long a key is remembered, at least.",
    ),
    head_bytes: createInteger(
      "bytes",
      131_072,
      [1_024, 1_000_000],
      "Size of a shard's head above which it is put away.",
    ),
  },
  endpoints: {
    connect_timeout: createInteger(
      "ms",
      1_000,
      [10, 60_000],
      "Longest time to open a connection to an endpoint.",
    ),
    idle_timeout: createInteger(
      "ms",
      30_000,
      [50, 3_600_000],
      "Silence after which an answer counts as cut.",
    ),
    load_interval: createInteger(
      "ms",
      1_000,
      [20, 600_000],
      "Least time between two load reports of an endpoint.",
    ),
    load_polls: createInteger(
      "polls/s",
      20,
      [1, 10_000],
      "Load reports asked for in all; with many endpoints each is asked less often.",
    ),
    notice_assumed: createInteger(
      "ms",
      10_000,
      [0, 600_000],
      "Notice assumed where an endpoint's end is not known.",
    ),
    move_margin: createInteger(
      "ms",
      500,
      [0, 60_000],
      "Time before an endpoint's end by which its runs must have ended.",
    ),
    backoff: createInteger(
      "ms",
      200,
      [1, 60_000],
      "Time an endpoint is left alone after a failure; doubles with each.",
    ),
    backoff_highest: createInteger("ms", 10_000, [1, 600_000], "Longest such time."),
  },
  placement: {
    price_weight: markReloadable(
      createDecimal("ms per cent/h", 0.5, [0, 10_000], "Milliseconds that one cent an hour is worth."),
    ),
    risk_weight: markReloadable(
      createDecimal(
        "ms",
        20,
        [0, 100_000],
        "Milliseconds that a reclaimable instance costs the most urgent.",
      ),
    ),
    hall_distance: markReloadable(createDecimal("ms", 2, [0, 10_000], "Round trip to another data hall.")),
    load_bound: markReloadable(
      createDecimal("", 1.5, [1, 100], "Multiple of the mean load above which a prefix home is passed over."),
    ),
    prefix_blocks: createInteger("blocks", 50_000, [100, 10_000_000], "Prompt blocks remembered."),
  },
  logs: {
    level: markReloadable(
      createChoice(["error", "warn", "info", "debug"], "info", "Least severity that is written."),
    ),
    decisions: createInteger("requests", 5_000, [10, 1_000_000], "Requests whose decisions are remembered."),
  },
} as const;

/** Settings of an entry, as values of the schema's types. */
export type EntrySettings = SettingsOf<typeof entrySchema>;

/** Returns the reference page of all settings. `docs/operating/settings.md` is a copy of it. */
export function formatSettingsPage(): string {
  const head =
    "# Settings\n\nWritten by `gladewalld --reference`. One INI file; every key stands in its section.\n\n";
  return `${head}${formatSettingsReference(entrySchema)}`;
}
