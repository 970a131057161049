/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/kernel/dist/test/kernel.test.js > TAP > metrics are written in the Prometheus text format > must match snapshot 1`] = `
# HELP requests_total Requests.
# TYPE requests_total counter
requests_total{row="a\\"b"} 3
# HELP open Open.
# TYPE open gauge
open 7
# HELP first_milliseconds First.
# TYPE first_milliseconds summary
first_milliseconds{quantile="0.5"} 10.007
first_milliseconds{quantile="0.95"} 10.007
first_milliseconds{quantile="0.99"} 10.007
first_milliseconds_sum 10
first_milliseconds_count 1

`
