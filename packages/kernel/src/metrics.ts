/**
 * Metrics of a process: counters, gauges and latency histograms (HDR), exported in the Prometheus text format.
 * @module
 */
import type { Histogram } from "hdr-histogram-js";
// The index of the package also loads its compression code and its WebAssembly: 150 of the 505 KB read at startup.
import int32Histogram from "hdr-histogram-js/dist/Int32Histogram.js";

/** Label names and values of one series. */
export type Labels = Readonly<Record<string, string>>;

const quantiles = [0.5, 0.95, 0.99] as const;
const maxMicroseconds = 3_600_000_000;
// Histograms start small and grow on demand, because most series never record a minute.
const initialMaxMicroseconds = 2_000_000;
const significantDigits = 3;
const microsecondsPerMs = 1_000;

function formatLabels(labels: Labels): string {
  const parts = Object.entries(labels).map(([key, value]) => `${key}="${escapeLabel(value)}"`);
  return parts.length === 0 ? "" : `{${parts.join(",")}}`;
}

function escapeLabel(value: string): string {
  return value.replace(/\\/g, "\\\\").replace(/"/g, '\\"').replace(/\n/g, "\\n");
}

/** A counter that never decreases. */
export class Counter {
  private value = 0;

  add(amount = 1): void {
    this.value += amount;
  }

  get(): number {
    return this.value;
  }
}

/** Histogram of latencies. Takes milliseconds and stores microseconds with three significant digits. */
export class LatencyHistogram {
  /** Durations in microseconds. */
  readonly histogram: Histogram = createHistogram();
  private sum = 0;

  /** Records one duration in milliseconds. */
  record(milliseconds: number): void {
    const microseconds = Math.min(maxMicroseconds, Math.max(1, Math.round(milliseconds * microsecondsPerMs)));
    this.histogram.recordValue(microseconds);
    this.sum += milliseconds;
  }

  /** Number of durations recorded. */
  getCount(): number {
    return this.histogram.totalCount;
  }

  /** Sum of durations in milliseconds. */
  getSum(): number {
    return this.sum;
  }

  /** Duration in milliseconds below which `share` (0 to 1) of the durations lie; 0 if none is recorded. */
  getQuantile(share: number): number {
    if (this.histogram.totalCount === 0) return 0;
    return this.histogram.getValueAtPercentile(share * 100) / microsecondsPerMs;
  }

  /** Adds another histogram's durations. */
  add(other: Histogram): void {
    this.histogram.add(other);
    this.sum += (other.mean * other.totalCount) / microsecondsPerMs;
  }
}

function createHistogram(): Histogram {
  const histogram = new int32Histogram.default(1, initialMaxMicroseconds, significantDigits);
  histogram.autoResize = true;
  return histogram;
}

interface Family<T> {
  readonly help: string;
  readonly series: Map<string, T>;
}

/**
 * All metrics of one process. Names follow the conventions of Prometheus: `gladewall_..._total`,
 * `..._milliseconds`.
 */
export class Metrics {
  private readonly counters = new Map<string, Family<Counter>>();
  private readonly gauges = new Map<string, Family<() => number>>();
  private readonly latencies = new Map<string, Family<LatencyHistogram>>();

  private constructor() {}

  static create(): Metrics {
    return new Metrics();
  }

  /** Returns the counter for a name and labels, and creates it on first use. */
  getCounter(name: string, help: string, labels: Labels = {}): Counter {
    return getSeries(this.counters, name, help, labels, () => new Counter());
  }

  /** Returns the latency histogram for a name and labels, and creates it on first use. */
  getLatencyHistogram(name: string, help: string, labels: Labels = {}): LatencyHistogram {
    return getSeries(this.latencies, name, help, labels, () => new LatencyHistogram());
  }

  /** Registers a gauge whose value is read each time the metrics are exported. */
  registerGauge(name: string, help: string, read: () => number, labels: Labels = {}): void {
    getSeries(this.gauges, name, help, labels, () => read);
  }

  /** Returns all metrics in the Prometheus text format. */
  format(): string {
    const lines: string[] = [];
    for (const [name, family] of this.counters) {
      pushHeader(lines, name, family.help, "counter");
      for (const [labels, counter] of family.series) lines.push(`${name}${labels} ${counter.get()}`);
    }
    for (const [name, family] of this.gauges) {
      pushHeader(lines, name, family.help, "gauge");
      for (const [labels, read] of family.series) lines.push(`${name}${labels} ${read()}`);
    }
    for (const [name, family] of this.latencies) {
      pushHeader(lines, name, family.help, "summary");
      for (const [labels, latency] of family.series) pushSummary(lines, name, labels, latency);
    }
    return `${lines.join("\n")}\n`;
  }
}

function getSeries<T>(
  families: Map<string, Family<T>>,
  name: string,
  help: string,
  labels: Labels,
  create: () => T,
): T {
  let family = families.get(name);
  if (!family) families.set(name, (family = { help, series: new Map() }));
  const key = formatLabels(labels);
  let series = family.series.get(key);
  if (series === undefined) family.series.set(key, (series = create()));
  return series;
}

function pushHeader(lines: string[], name: string, help: string, type: string): void {
  lines.push(`# HELP ${name} ${help}`, `# TYPE ${name} ${type}`);
}

function pushSummary(lines: string[], name: string, labels: string, latency: LatencyHistogram): void {
  for (const quantile of quantiles) {
    const inner = labels === "" ? "" : `${labels.slice(1, -1)},`;
    lines.push(`${name}{${inner}quantile="${quantile}"} ${latency.getQuantile(quantile)}`);
  }
  lines.push(`${name}_sum${labels} ${latency.getSum()}`, `${name}_count${labels} ${latency.getCount()}`);
}
