package flood

import (
	"flag"
	"strings"
	"testing"
	"time"
)

// Flags of the test against a running fleet.
var (
	runningAddress = flag.String("flood.address", "", "address of the VM of a running fleet to flood; the test is skipped without it")
	runningPID     = flag.Int("flood.pid", 0, "process ID of that VM")
	runningKey     = flag.String("flood.key", "key-of-clinic-1", "key of a workspace")
	runningMB      = flag.Int("flood.mb", 184, "memory of that VM, in megabytes")
)

// runningCrowds returns the floods of docs/design/hard-load.md in their full size.
func runningCrowds() []crowd {
	body := strings.Repeat("x", 999_999)
	short := followed(request("POST", route, shortFields(4200), "Content-Length: 16000\r\n"), body[:15_999])
	return []crowd{
		{"idle", 400, toCallers, func(*testbed) string { return "" }},
		{"incomplete headers", 400, toCallers, request("GET", route)},
		{"many fields and a short body", 400, toCallers, short},
		{"open headers without a route", 400, toCallers, request("GET", noRoute, shortFields(8500))},
		{"bodies without their last byte", 300, toCallers, followed(request("POST", route, "Content-Length: 1000000\r\n"), body)},
		{"bodies of small chunks", 300, toCallers, followed(request("POST", route, "Transfer-Encoding: chunked\r\n"), strings.Repeat("1\r\nx\r\n", 20_000))},
		{"pipelined on a route", 200, toCallers, repeated(followed(request("GET", route), ""), 3000)},
		{"pipelined at an unknown path", 200, toCallers, repeated(followed(request("GET", unknown), ""), 3000)},
	}
}

// Guards against floods of the size that the requirements state, sent to a fleet that was
// started by the commands of the README. The peak covers all floods up to the one reported.
func TestRunningFleet(t *testing.T) {
	if *runningAddress == "" {
		t.Skip("no -flood.address")
	}
	tb := &testbed{address: *runningAddress, key: *runningKey}
	for _, c := range runningCrowds() {
		t.Run(c.name, func(t *testing.T) {
			c.send(t, tb)
			time.Sleep(3 * time.Second)
			began := time.Now()
			err := tb.get()
			peak, descriptors, alive := usageOf(*runningPID)
			t.Logf("peak of memory %d MB, %d descriptors, ordinary request after %v: %v", peak, descriptors, time.Since(began).Round(time.Millisecond), err)
			if !alive || peak >= *runningMB || err != nil {
				t.Errorf("alive %v, peak %d MB, error %v", alive, peak, err)
			}
		})
	}
}
