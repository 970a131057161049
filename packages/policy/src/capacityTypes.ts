/**
 * Types of the decisions on short capacity: what an endpoint reports about its load, and who gets its slots.
 * @module
 */

/** Load that an endpoint reports with a response. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there at present, in percent of the usual; undefined if the endpoint does not report it. */
  readonly pacePercent: number | undefined;
}

/** Room at one endpoint, as estimated from its last report and from the requests that were sent and ended since. */
export interface CapacityEstimate {
  /** Whether a valid report is recent enough to count; if not, the other members are based on counted requests only. */
  readonly isReported: boolean;
  /** Requests that run or wait there. */
  readonly requests: number;
  /** Slots that no request occupies; 0 if requests wait there. */
  readonly freeSlots: number;
  /** Factor by which work takes longer than usual at present; 1 if it is unknown. */
  readonly pace: number;
}

/** A request for a slot of a service. Times are milliseconds of the clock of the instance that decides. */
export interface SlotRequest {
  readonly id: string;
  /** Instance that sends the request. */
  readonly requester: string;
  /** Empty for requests without a workspace. */
  readonly workspace: string;
  readonly route: string;
  /** Urgency, 0 being the most urgent. */
  readonly rank: number;
  readonly arrivedAt: number;
  /** Time by which the response should be received. */
  readonly objectiveAt: number;
  /** Time after which nobody waits for the response. */
  readonly deadlineAt: number;
  /** Incarnations of endpoints that the request must not be sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Incarnations of the endpoints that it is best sent to, the best one first; any if omitted. */
  readonly preferred?: readonly string[] | undefined;
  /** Tokens of an engine's memory that it may take; none if omitted. */
  readonly tokens?: number | undefined;
}

/** What becomes of a request for a slot. */
export enum SlotOutcome {
  /** It may be sent to the endpoint of the grant now. */
  Granted = 1,
  /** It waits for its turn. */
  Queued = 2,
  /** It is not served; its caller may return later. */
  Refused = 3,
}

/** Why a request for a slot was refused. */
export enum SlotRefusal {
  /** It can't start before its deadline. */
  DeadlineUnreachable = 1,
  /** It can't meet its objective, and the service is busy with requests that can. */
  ObjectiveUnreachable = 2,
  QueueFull = 3,
  /** No endpoint that the request may be sent to is known. */
  NoEndpoint = 4,
  /** It needs more memory than any endpoint has. */
  MemoryExceeded = 5,
}

/** Decision on a request for a slot. */
export type SlotDecision =
  | { readonly outcome: SlotOutcome.Granted; readonly endpoint: string }
  | {
      readonly outcome: SlotOutcome.Queued;
      /** Expected milliseconds until its turn. */
      readonly waitMs: number;
    }
  | {
      readonly outcome: SlotOutcome.Refused;
      readonly refusal: SlotRefusal;
      /** Milliseconds after which its caller should return. */
      readonly retryAfterMs: number;
    };

/** A slot that a waiting request has got. */
export interface SlotGrant {
  readonly id: string;
  /** Incarnation of the endpoint. */
  readonly endpoint: string;
}

/** What became of waiting requests. */
export interface SlotDispatch {
  readonly granted: readonly SlotGrant[];
  /** Requests whose deadline has passed, or that gave way to others. */
  readonly expired: readonly string[];
  /** Requests that may be sent to none of the endpoints any more. */
  readonly stranded: readonly string[];
}

/** How a request ended that had a grant. */
export interface SlotEnd {
  readonly id: string;
  /** Whether the endpoint refused it because it was full. */
  readonly isRejected: boolean;
  /** Milliseconds from the sending to the response; undefined if there was no response. */
  readonly tookMs: number | undefined;
  /** Load that the endpoint reported with the response; undefined if it reported none. */
  readonly load: EndpointLoad | undefined;
}

/** An endpoint whose slots are granted. */
export interface SlotEndpoint {
  readonly incarnation: string;
  /** 0 if nothing is to be sent there now; open grants stay counted. */
  readonly slots: number;
  /** Refusals a second that it bears; more of them make it crash. Undefined if it bears any number. */
  readonly refusalLimit?: number | undefined;
  /** Most requests that may have a grant of this scheduler there; as many as there are slots if omitted. */
  readonly mostGranted?: number | undefined;
  /** Tokens that its memory holds; any number if omitted. */
  readonly tokenCapacity?: number | undefined;
  /**
   * Grows when the scheduler may not know of all work there, because another one granted its slots before. Until the endpoint has
   * reported its load, it gets a request only if none is known to be there.
   */
  readonly term?: number | undefined;
}

/** A request that has a place at an endpoint and was not granted it by this scheduler. */
export interface AdoptedSlot {
  readonly id: string;
  /** Incarnation of the endpoint. */
  readonly endpoint: string;
  /** Time by which the request has ended. */
  readonly deadlineAt: number;
  readonly tokens: number;
}

/** What a scheduler knows of one endpoint, for logs. */
export interface SlotEndpointLoad {
  /** Requests with a grant, and those of them whose instance is gone. */
  readonly open: number;
  readonly orphaned: number;
  /** Requests that the last report showed beside them. */
  readonly ungranted: number;
  readonly slots: number;
  readonly usedTokens: number;
  /** Milliseconds since the last report; Infinity if there was none. */
  readonly reportAgeMs: number;
}

/** Decides who gets the slots of one service. It holds all state in memory and does no input or output. */
export interface SlotScheduler {
  /** Replaces the endpoints that requests may be sent to. */
  setEndpoints(endpoints: readonly SlotEndpoint[]): void;
  /** Decides on a new request. A queued one is granted by a later `dispatch`, unless it is cancelled. */
  request(request: SlotRequest): SlotDecision;
  /** Removes a request that waits or has a grant, because its caller is gone or its instance does not use the grant. */
  cancel(id: string): void;
  /** Frees the slot of a grant. */
  end(end: SlotEnd): void;
  /** Counts a request that another scheduler granted a slot, or that was sent without one. A known one is left as it is. */
  adopt(slot: AdoptedSlot): void;
  /** Records that the instance of a request with a grant is gone: the slot is free once a report shows that the request is gone too. */
  orphan(id: string): void;
  /** Records the load that an endpoint reported while the request of a grant runs there. */
  recordLoad(id: string, load: EndpointLoad): void;
  /** Returns what is known of the endpoint of a grant; undefined if the grant is not open. */
  describe(id: string): SlotEndpointLoad | undefined;
  /** Grants free slots to waiting requests and drops those that wait in vain; to be called after every change and by `nextAt`. */
  dispatch(): SlotDispatch;
  /** Time at which a waiting request or a grant expires next; undefined if there is none. */
  getNextAt(): number | undefined;
  /** Requests that wait, and grants that are open. */
  getState(): { readonly waiting: number; readonly open: number };
}
