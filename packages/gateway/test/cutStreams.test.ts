/*
 * Guards against streams that an endpoint cut and that their callers are told as complete, at the instance that reads from the endpoint.
 */
import t from "tap";
import { checkDrawn, checkEachByte } from "./cutStreamChecks.js";

t.test("a stream that is cut at any byte is not told as complete, directly", (t) => checkEachByte(t, false));

t.test("drawn streams that are cut several times are not told as complete, directly", (t) =>
  checkDrawn(t, false),
);
