/**
 * The callers' routes: model completions, web services, and coming back to a request.
 * @module
 */
import { ServiceKind } from "@gladewall/coordination";
import { type Clock, Failure, FailureCode, outcomeNames } from "@gladewall/kernel";
import { DecisionRule, DecisionStage, getKeyHash, type ServiceRecord, type Table } from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import type { AdmissionControl } from "./admission.js";
import { parseEventId, writeModelAnswer } from "./answerModel.js";
import { writeWebAnswer } from "./answerWeb.js";
import type { DecisionWriter } from "./decisions.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { EntrySettings } from "./entrySettings.js";
import { createEnvelope, isModelService, parseModel, readMarks, type RequestMarks } from "./envelope.js";
import type { Exchange, Route } from "./front.js";
import { selectRequestHeaders } from "./headers.js";
import { sendProblem } from "./problem.js";
import { readBody, type RequestBody } from "./requestBody.js";
import { type ActiveRequest, type Requests, StopReason } from "./requests.js";
import type { Runner } from "./runner.js";
import { ModelForm, type ModelRequest } from "./types.js";

/** What the routes work with. */
export interface RouteParts {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly admission: AdmissionControl;
  readonly requests: Requests;
  readonly runner: Runner;
  readonly decisions: DecisionWriter;
  readonly metrics: EntryMetrics;
  /** Returns the table in force, or why this entry takes no request now. */
  getTable(): Result<Table, Failure>;
}

/** A caller whose key is known. */
interface Caller {
  readonly table: Table;
  readonly workspace: string;
}

/** A request on its way to acceptance. */
interface Candidate {
  readonly caller: Caller;
  readonly marks: RequestMarks;
  readonly service: ServiceRecord;
  readonly path: string;
  readonly body: RequestBody;
  readonly model: ModelRequest | undefined;
}

const bearerPattern = /^Bearer ([\x21-\x7e]+)$/i;

/** Routes of callers. */
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
          GET: (exchange, match) => this.handleReturn(exchange, match[1] ?? ""),
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
    const marks = readMarks(exchange.request, settings.requests.default_class);
    if (marks.isErr()) return marks.error;
    const { body_bytes: total, body_timeout: idle } = settings.front;
    const body = await readBody(exchange.request, { held: total, total, idle }, clock);
    if (body.isErr()) return body.error;
    const parsed = parseModel(body.value.head, form);
    if (parsed.isErr()) return parsed.error;
    const service = caller.value.table.getService(parsed.value.service);
    if (!service || !isModelService(service)) {
      return Failure.create(FailureCode.UnknownService, { service: parsed.value.service });
    }
    const { model } = parsed.value;
    const path = exchange.url.pathname;
    const candidate = { caller: caller.value, marks: marks.value, service, path, body: body.value, model };
    return this.accept(exchange, candidate);
  }

  private async handleWeb(exchange: Exchange, name: string, path: string): Promise<Failure | undefined> {
    const { settings, clock } = this.parts;
    const caller = this.authenticate(exchange);
    if (caller.isErr()) return caller.error;
    const marks = readMarks(exchange.request, settings.requests.default_class);
    if (marks.isErr()) return marks.error;
    const service = caller.value.table.getService(name);
    if (!service || service.kind !== ServiceKind.Web)
      return Failure.create(FailureCode.UnknownService, { service: name });
    const { upload_bytes: total, body_timeout: idle } = settings.front;
    const body = await readBody(exchange.request, { held: settings.requests.copy_bytes, total, idle }, clock);
    if (body.isErr()) return body.error;
    const target = `${path}${exchange.url.search}`;
    const candidate = {
      caller: caller.value,
      marks: marks.value,
      service,
      path: target,
      body: body.value,
      model: undefined,
    };
    return this.accept(exchange, candidate);
  }

  private async accept(exchange: Exchange, candidate: Candidate): Promise<Failure | undefined> {
    const { admission, metrics, requests } = this.parts;
    const { caller, marks, service, model } = candidate;
    const promptTokens = model?.promptTokens ?? 0;
    const work = promptTokens + (model?.outputTokens ?? 0);
    const admissionRequest = { workspace: caller.workspace, service, class: marks.class, promptTokens, work };
    const admitted = admission.admit(caller.table, admissionRequest);
    if (admitted.isErr()) {
      metrics.countRefusal(admitted.error);
      return this.refuse(exchange, admitted.error);
    }
    const { row, rowName, version } = admitted.value;
    const envelope = createEnvelope({
      id: exchange.id,
      workspace: caller.workspace,
      service,
      marks,
      row,
      rowName,
      method: exchange.request.method ?? "",
      path: candidate.path,
      headers: this.getHeaders(exchange),
      body: candidate.body.head,
      model,
      arrived: this.parts.clock.getWallTime(),
    });
    metrics.admitted.add();
    const inputs = { row: rowName, version, priority: row.priority, tokens: promptTokens };
    this.parts.decisions.add(envelope.id, DecisionStage.Admission, DecisionRule.RowAdmitted, inputs);
    const request = requests.add(envelope);
    void this.parts.runner.run(request, candidate.body.rest).then(() => {
      admitted.value.leave(Math.max(0, work - promptTokens - request.log.end));
      requests.finish(request);
    });
    await this.answer(exchange, request, 0, model?.isStream ?? false);
    return undefined;
  }

  /** Refuses with a request id of its own, so that the refusal can be asked about. */
  private refuse(exchange: Exchange, failure: Failure): undefined {
    const { id } = exchange;
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
    const { response, gone } = exchange;
    exchange.gone.addEventListener("abort", () => this.handleGone(request));
    if (request.envelope.model) await writeModelAnswer(response, request, { isStream, from }, gone);
    else await writeWebAnswer(response, request, gone);
  }

  /** A run without a key goes on for a grace time after its last caller left, so that the caller can come back. */
  private handleGone(request: ActiveRequest): void {
    if (!request.isOpen || request.envelope.keyDigest !== undefined) return;
    this.parts.clock.startTimer(this.parts.settings.requests.resume_grace, () => {
      if (request.isOpen && request.log.readerCount === 0) request.stop.abort(StopReason.CallerLeft);
    });
  }

  private async handleReturn(exchange: Exchange, id: string): Promise<Failure | undefined> {
    const found = this.findOwn(exchange, id);
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
    const found = this.findOwn(exchange, id);
    if (found.isErr()) return found.error;
    found.value.stop.abort(StopReason.CallerLeft);
    await found.value.log.waitForEnd();
    const { failure } = found.value.log;
    exchange.response.setHeader("gladewall-request", id);
    if (failure) exchange.response.setHeader("gladewall-outcome", outcomeNames[failure.outcome]);
    exchange.response.writeHead(204);
    exchange.response.end();
    return undefined;
  }

  /** Finds a request of the caller's own workspace; another's looks as if it did not exist. */
  private findOwn(exchange: Exchange, id: string): Result<ActiveRequest, Failure> {
    const caller = this.authenticate(exchange);
    if (caller.isErr()) return caller;
    const request = this.parts.requests.get(id);
    const isOwn = request?.envelope.workspace === caller.value.workspace;
    return request && isOwn ? Ok(request) : Err(Failure.create(FailureCode.RequestUnknown, { request: id }));
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
    const table = this.parts.getTable();
    if (table.isErr()) return table;
    const key = bearerPattern.exec(exchange.request.headers.authorization ?? "")?.[1];
    const workspace = key === undefined ? undefined : table.value.getWorkspace(getKeyHash(key));
    if (workspace === undefined) return Err(Failure.create(FailureCode.Unauthorized));
    return Ok({ table: table.value, workspace });
  }
}
