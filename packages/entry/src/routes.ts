/**
 * The HTTP routes for callers: model completions, web services, and reading or cancelling an earlier request by its id.
 * Authenticates the caller, creates the request's envelope, and admits or refuses the request.
 * @module
 */
import { ServiceKind } from "@gladewall/coordination";
import { type Clock, Failure, FailureCode, Outcome, outcomeNames } from "@gladewall/kernel";
import {
  DecisionRule,
  DecisionStage,
  getKeyHash,
  getRowName,
  type ServiceRecord,
  type PolicyTable,
  type PolicyRow,
} from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import type { AdmissionControl } from "./admission.js";
import type { ResponseFetcher } from "./responseFetcher.js";
import { parseEventId, writeModelResponse } from "./modelResponse.js";
import { writeWebResponse } from "./webResponse.js";
import type { BackupWriter } from "./backupWriter.js";
import type { DecisionWriter } from "./decisions.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { EntrySettings } from "./entrySettings.js";
import {
  createEnvelope,
  isModelService,
  parseModelRequest,
  readDirectives,
  type RequestDirectives,
} from "./envelope.js";
import type { Exchange, Route } from "./callerServer.js";
import { selectRequestHeaders } from "./headers.js";
import type { KeyLookup } from "./keyLookup.js";
import { sendProblem } from "./problem.js";
import { readBody, type RequestBody } from "./requestBody.js";
import { type ActiveRequest, type RequestRegistry, StopReason } from "./requests.js";
import { newRequestOptions, type RequestRunner } from "./runner.js";
import { type Envelope, ModelForm, type ModelRequest } from "./types.js";

/** Components that the routes use. */
export interface RouteParts {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly admission: AdmissionControl;
  readonly requests: RequestRegistry;
  readonly runner: RequestRunner;
  readonly backups: BackupWriter;
  readonly fetcher: ResponseFetcher;
  readonly keys: KeyLookup;
  readonly decisions: DecisionWriter;
  readonly metrics: EntryMetrics;
  /** Returns the policy table in force, or the failure for which this entry accepts no requests now. */
  getTable(): Result<PolicyTable, Failure>;
  /** Returns the policy table in force, also while this entry is leaving. */
  getLatestTable(): Result<PolicyTable, Failure>;
}

/** An authenticated caller. */
interface Caller {
  readonly table: PolicyTable;
  readonly workspace: string;
}

/** A parsed request that is not admitted yet. */
interface Candidate {
  readonly caller: Caller;
  readonly directives: RequestDirectives;
  readonly service: ServiceRecord;
  readonly path: string;
  readonly body: RequestBody;
  readonly model: ModelRequest | undefined;
}

const bearerPattern = /^Bearer ([\x21-\x7e]+)$/i;

/** Creates the routes for callers and handles their requests. */
export class CallerRoutes {
  readonly routes: readonly Route[];

  private constructor(private readonly parts: RouteParts) {
    this.routes = [
      {
        pattern: /^\/v1\/chat\/completions$/,
        methods: { POST: (exchange) => this.handleModel(exchange, ModelForm.Chat) },
      },
      {
        pattern: /^\/v1\/completions$/,
        methods: { POST: (exchange) => this.handleModel(exchange, ModelForm.Text) },
      },
      { pattern: /^\/v1\/models$/, methods: { GET: (exchange) => this.handleModels(exchange) } },
      {
        pattern: /^\/v1\/requests\/([A-Za-z0-9._~-]+)$/,
        methods: {
          GET: (exchange, match) => this.handleReattach(exchange, match[1] ?? ""),
          DELETE: (exchange, match) => this.handleCancel(exchange, match[1] ?? ""),
        },
      },
      {
        pattern: /^\/s\/([A-Za-z0-9][A-Za-z0-9._-]*)(\/.*)?$/,
        methods: { "*": (exchange, match) => this.handleWeb(exchange, match[1] ?? "", match[2] ?? "/") },
      },
    ];
  }

  static create(parts: RouteParts): CallerRoutes {
    return new CallerRoutes(parts);
  }

  private async handleModel(exchange: Exchange, form: ModelForm): Promise<Failure | undefined> {
    const { settings, clock } = this.parts;
    const caller = this.authenticate(exchange);
    if (caller.isErr()) return caller.error;
    const directives = readDirectives(exchange.request, settings.requests.default_class);
    if (directives.isErr()) return directives.error;
    const { body_bytes: maxTotalBytes, body_timeout: idleTimeoutMs } = settings.front;
    const body = await readBody(
      exchange.request,
      { maxHeldBytes: maxTotalBytes, maxTotalBytes, idleTimeoutMs },
      clock,
    );
    if (body.isErr()) return body.error;
    const parsed = parseModelRequest(body.value.head, form);
    if (parsed.isErr()) return parsed.error;
    const service = caller.value.table.getService(parsed.value.service);
    if (!service || !isModelService(service)) {
      return Failure.create(FailureCode.UnknownService, { service: parsed.value.service });
    }
    const { model } = parsed.value;
    const path = exchange.url.pathname;
    const candidate = {
      caller: caller.value,
      directives: directives.value,
      service,
      path,
      body: body.value,
      model,
    };
    return this.accept(exchange, candidate);
  }

  private async handleWeb(exchange: Exchange, name: string, path: string): Promise<Failure | undefined> {
    const { settings, clock } = this.parts;
    const caller = this.authenticate(exchange);
    if (caller.isErr()) return caller.error;
    const directives = readDirectives(exchange.request, settings.requests.default_class);
    if (directives.isErr()) return directives.error;
    const service = caller.value.table.getService(name);
    if (!service || service.kind !== ServiceKind.Web)
      return Failure.create(FailureCode.UnknownService, { service: name });
    const { upload_bytes: maxTotalBytes, body_timeout: idleTimeoutMs } = settings.front;
    const body = await readBody(
      exchange.request,
      {
        maxHeldBytes: settings.requests.copy_bytes,
        maxTotalBytes,
        idleTimeoutMs,
      },
      clock,
    );
    if (body.isErr()) return body.error;
    const target = `${path}${exchange.url.search}`;
    const candidate = {
      caller: caller.value,
      directives: directives.value,
      service,
      path: target,
      body: body.value,
      model: undefined,
    };
    return this.accept(exchange, candidate);
  }

  private async accept(exchange: Exchange, candidate: Candidate): Promise<Failure | undefined> {
    const { admission, metrics, requests, decisions } = this.parts;
    const { caller, directives, service, model } = candidate;
    const { workspace } = caller;
    const row = caller.table.getRow(workspace, service.name, directives.class);
    if (!row) {
      const values = { workspace, service: service.name, class: directives.class };
      return this.refuse(exchange, Failure.create(FailureCode.NoRow, values));
    }
    const envelope = this.createEnvelope(exchange, candidate, row);
    const isStream = model?.isStream ?? false;
    const existing = envelope.keyDigest === undefined ? undefined : requests.getByKey(envelope.keyDigest);
    if (existing) return this.answerFromExisting(exchange, existing, envelope, isStream);
    const promptTokens = model?.promptTokens ?? 0;
    const work = promptTokens + (model?.outputTokens ?? 0);
    const admitted = admission.admit(row, { service: service.name, promptTokens, work });
    if (admitted.isErr()) return this.refuseUnlessKeyUsed(exchange, envelope, admitted.error, isStream);
    metrics.admitted.add();
    const { version } = caller.table;
    const inputs = { row: envelope.row, version, priority: row.priority, tokens: promptTokens };
    decisions.add(envelope.id, DecisionStage.Admission, DecisionRule.RowAdmitted, inputs);
    const request = requests.add(envelope);
    void this.run(request, candidate.body.rest).then(() => {
      admitted.value.release(Math.max(0, work - promptTokens - request.log.end));
      requests.finish(request);
    });
    await this.answer(exchange, request, 0, isStream);
    return undefined;
  }

  private createEnvelope(exchange: Exchange, candidate: Candidate, row: PolicyRow): Envelope {
    const { caller, directives, service, model } = candidate;
    return createEnvelope({
      id: exchange.id,
      workspace: caller.workspace,
      service,
      directives,
      row,
      rowName: getRowName(row),
      method: exchange.request.method ?? "",
      path: candidate.path,
      headers: this.getHeaders(exchange),
      body: candidate.body.head,
      model,
      arrived: this.parts.clock.getWallTime(),
    });
  }

  /** Copies the request to a backup and runs it, or attaches to the request that was accepted with the same key. */
  private async run(request: ActiveRequest, rest: AsyncIterable<Uint8Array> | undefined): Promise<void> {
    const { backups, runner, keys } = this.parts;
    // A body that is streamed through is not held in memory, so there is nothing to copy.
    const conflict = rest
      ? undefined
      : (keys.findCopied(request.envelope.keyDigest) ?? (await backups.replicate(request)));
    if (conflict) return runner.runAttached(request, conflict.request, conflict.body);
    await runner.run(request, { ...newRequestOptions, rest });
  }

  /**
   * Refuses a request unless its key was used before. A request with a used key gets the response of the first request,
   * which takes no capacity. If it can't be found out whether the key was used, the outcome is not reported as "not
   * run".
   */
  private async refuseUnlessKeyUsed(
    exchange: Exchange,
    envelope: Envelope,
    failure: Failure,
    isStream: boolean,
  ): Promise<Failure | undefined> {
    const found = await this.parts.keys.find(envelope);
    if (found.isErr()) return this.refuse(exchange, failure.withOutcome(Outcome.Unknown));
    if (!found.value) return this.refuse(exchange, failure);
    const { request: other, body } = found.value;
    const request = this.parts.requests.add(envelope);
    void this.parts.runner.runAttached(request, other, body).then(() => this.parts.requests.finish(request));
    await this.answer(exchange, request, 0, isStream);
    return undefined;
  }

  /** Responds to a request whose key this entry already holds with the response of the first request. */
  private async answerFromExisting(
    exchange: Exchange,
    existing: ActiveRequest,
    envelope: Envelope,
    isStream: boolean,
  ): Promise<Failure | undefined> {
    if (existing.envelope.bodyDigest !== envelope.bodyDigest)
      return Failure.create(FailureCode.KeyReusedWithOtherBody);
    if (!existing.log.canFollow(0))
      return Failure.create(FailureCode.AlreadyRun, { request: existing.envelope.id });
    await this.answer(exchange, existing, 0, isStream);
    return undefined;
  }

  /** Sends a refusal with its own request id, so that operators can request its explanation. */
  private refuse(exchange: Exchange, failure: Failure): undefined {
    const { id } = exchange;
    this.parts.metrics.countRefusal(failure);
    this.parts.decisions.addFailure(id, DecisionStage.Admission, DecisionRule.Refused, failure);
    if (!exchange.request.complete) exchange.response.setHeader("connection", "close");
    sendProblem(exchange.response, failure, id);
  }

  private getHeaders(exchange: Exchange): ReturnType<typeof selectRequestHeaders> {
    const remote = exchange.request.socket.remoteAddress ?? "unknown";
    return selectRequestHeaders(
      exchange.request.rawHeaders,
      remote,
      this.parts.settings.front.trusted_proxies,
    );
  }

  private async answer(
    exchange: Exchange,
    request: ActiveRequest,
    from: number,
    isStream: boolean,
  ): Promise<void> {
    const { response, callerLeft } = exchange;
    exchange.callerLeft.addEventListener("abort", () => this.handleCallerLeft(request));
    if (request.envelope.model)
      await writeModelResponse(response, request, { isStream, fromPosition: from }, callerLeft);
    else await writeWebResponse(response, request, callerLeft);
  }

  /**
   * Stops a request without a key if no caller reads its response `resume_grace` milliseconds after a caller left. The
   * delay allows the caller to reconnect.
   */
  private handleCallerLeft(request: ActiveRequest): void {
    if (!request.isOpen || request.envelope.keyDigest !== undefined) return;
    this.parts.clock.startTimer(this.parts.settings.requests.resume_grace, () => {
      if (request.isOpen && request.log.readerCount === 0) request.stop.abort(StopReason.CallerLeft);
    });
  }

  private async handleReattach(exchange: Exchange, id: string): Promise<Failure | undefined> {
    const found = await this.findInWorkspace(exchange, id);
    if (found.isErr()) return found.error;
    const request = found.value;
    const eventId = exchange.request.headers["last-event-id"];
    const from = typeof eventId === "string" ? parseEventId(eventId, id) : 0;
    if (from === undefined)
      return Failure.create(FailureCode.BadRequest, { detail: "Last-Event-ID is not one of this request" });
    if (!request.log.canFollow(from)) return Failure.create(FailureCode.AnswerNoLongerHeld, { request: id });
    const wantsStream = exchange.request.headers.accept?.includes("text/event-stream") ?? false;
    const isStream = wantsStream || (typeof eventId === "string" && request.envelope.model !== undefined);
    await this.answer(exchange, request, from, isStream);
    return undefined;
  }

  private async handleCancel(exchange: Exchange, id: string): Promise<Failure | undefined> {
    const found = await this.findInWorkspace(exchange, id);
    if (found.isErr()) return found.error;
    await this.parts.fetcher.cancel(found.value);
    await found.value.log.waitForEnd();
    const { failure } = found.value.log;
    exchange.response.setHeader("gladewall-request", id);
    if (failure) exchange.response.setHeader("gladewall-outcome", outcomeNames[failure.outcome]);
    exchange.response.writeHead(204);
    exchange.response.end();
    return undefined;
  }

  /**
   * Finds a request of the caller's workspace. For a request of another workspace the failure is the same as for an
   * unknown request, so that its existence is not disclosed.
   */
  private async findInWorkspace(exchange: Exchange, id: string): Promise<Result<ActiveRequest, Failure>> {
    // A leaving entry still returns the responses that it holds.
    const caller = this.identify(exchange, this.parts.getLatestTable());
    if (caller.isErr()) return caller;
    const found = await this.parts.fetcher.fetch(id);
    if (found.isErr()) return found;
    const isOwn = found.value.envelope.workspace === caller.value.workspace;
    return isOwn ? found : Err(Failure.create(FailureCode.RequestUnknown, { request: id }));
  }

  private async handleModels(exchange: Exchange): Promise<Failure | undefined> {
    const caller = this.authenticate(exchange);
    if (caller.isErr()) return caller.error;
    const models = caller.value.table.configuration.services.filter(isModelService);
    const data = models.map(({ name }) => ({ id: name, object: "model", created: 0, owned_by: "gladewall" }));
    exchange.response.writeHead(200, { "content-type": "application/json" });
    exchange.response.end(JSON.stringify({ object: "list", data }));
    return undefined;
  }

  private authenticate(exchange: Exchange): Result<Caller, Failure> {
    return this.identify(exchange, this.parts.getTable());
  }

  private identify(exchange: Exchange, table: Result<PolicyTable, Failure>): Result<Caller, Failure> {
    if (table.isErr()) return table;
    const key = bearerPattern.exec(exchange.request.headers.authorization ?? "")?.[1];
    const workspace = key === undefined ? undefined : table.value.getWorkspace(getKeyHash(key));
    if (workspace === undefined) return Err(Failure.create(FailureCode.Unauthorized));
    return Ok({ table: table.value, workspace });
  }
}
