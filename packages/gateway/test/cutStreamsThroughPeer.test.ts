/*
 * Guards against streams that an endpoint cut and that their callers are told as complete, at an instance that reads through a peer.
 */
import t from "tap";
import { checkDrawn, checkEachByte } from "./cutStreamChecks.js";

t.test("a stream that is cut at any byte is not told as complete, through a peer", (t) =>
  checkEachByte(t, true),
);

t.test("drawn streams that are cut several times are not told as complete, through a peer", (t) =>
  checkDrawn(t, true),
);
