package restarts

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// The retry budget of the deployment: in each budgetWindow, at most budgetShare repeats for each
// request, and budgetReserve more. The requests are those of the window, of the one before or of
// the one half a window earlier, whichever has most.
const (
	budgetWindow  = 10 * time.Second
	budgetShare   = 0.2
	budgetReserve = 60
)

// Load and faults of the test.
const (
	fleetSize     = 16
	requestRate   = 115.0 // per second
	safeTenths    = 3     // of the requests that may run twice
	shedPercent   = 55
	callerTries   = 4
	callerPause   = 300 * time.Millisecond
	callerTimeout = 3 * time.Second
	// shedAfterKill exceeds the time for which a new holder earns no repeats, so that some must
	// follow.
	shedAfterKill = 7 * time.Second
)

// callers send requests and come back a few times when these are refused.
type callers struct {
	tb      *testbed
	client  *http.Client
	running sync.WaitGroup

	mu       sync.Mutex
	sent     []time.Time
	answered int // with 200
}

// run sends requests at random times until stop is closed.
func (c *callers) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			c.running.Wait()
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / requestRate * float64(time.Second))):
			c.running.Go(func() { c.request(n) })
		}
	}
}

// request sends one request, and again under other IDs while it is refused.
func (c *callers) request(n int) {
	method, path := "POST", fmt.Sprint("/book/", n)
	if n%10 < safeTenths {
		method, path = "GET", fmt.Sprint("/read/", n)
	}
	end := time.Now().Add(callerTimeout)
	for try := range callerTries {
		left := time.Until(end)
		if left <= callerPause {
			return
		}
		c.mu.Lock()
		c.sent = append(c.sent, time.Now())
		c.mu.Unlock()
		status, err := c.tb.send(c.client, method, path, fmt.Sprintf("%d-%d", n, try), left)
		if status == http.StatusOK {
			c.mu.Lock()
			c.answered++
			c.mu.Unlock()
		}
		refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if !refused && !(err != nil && method == "GET") {
			return
		}
		time.Sleep(callerPause)
	}
}

// repeats returns the times of the arrivals beyond the first of each request, in order.
func (tb *testbed) repeats() []time.Time {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var all []time.Time
	for _, times := range tb.arrivals {
		slices.SortFunc(times, time.Time.Compare)
		all = append(all, times[1:]...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// countIn returns how many of the times are in (from, to].
func countIn(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// worstWindow returns the number of repeats and what is allowed in the window in which the former
// exceeds the latter by most.
func worstWindow(repeats, sent []time.Time) (got int, allowed float64) {
	worst := false
	for _, to := range repeats {
		from := to.Add(-budgetWindow)
		half := budgetWindow / 2
		requests := max(countIn(sent, from, to), countIn(sent, from.Add(-budgetWindow), from), countIn(sent, from.Add(-half), to.Add(-half)))
		n, bound := countIn(repeats, from, to), budgetShare*float64(requests)+budgetReserve
		if !worst || float64(n)-bound > float64(got)-allowed {
			worst, got, allowed = true, n, bound
		}
	}
	return got, allowed
}

// Guards against a fleet that gives out its retry budget again after all VMs were killed, because
// nobody is left who remembers what was spent: more arrivals at targets than the budget allows.
func TestRetryBudgetWhenAllVMsAreKilled(t *testing.T) {
	if testing.Short() {
		t.Skip("plays 45 s with 16 processes")
	}
	for _, kills := range []int{1, 3} {
		t.Run(fmt.Sprint(kills, " kills"), func(t *testing.T) {
			tb := startTestbed(t, fleetSize)
			c := &callers{tb: tb, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
			stop, done := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(done)
				c.run(stop)
			}()
			time.Sleep(4 * time.Second)
			tb.shedShare.Store(shedPercent)
			for range kills {
				time.Sleep(4 * time.Second / time.Duration(kills))
				tb.killAll()
				time.Sleep(500 * time.Millisecond)
				tb.startAll(t)
			}
			time.Sleep(shedAfterKill)
			tb.shedShare.Store(0)
			time.Sleep(4 * time.Second)
			close(stop)
			<-done
			repeats := tb.repeats()
			got, allowed := worstWindow(repeats, c.sent)
			t.Logf("%d sent, %d answered with 200, %d repeats; worst window: %d of %.0f", len(c.sent), c.answered, len(repeats), got, allowed)
			if float64(got) > allowed {
				t.Errorf("%d repeats within %v, want at most %.0f", got, budgetWindow, allowed)
			}
			if c.answered < len(c.sent)/4 || len(repeats) == 0 {
				t.Errorf("%d of %d requests answered with 200, %d repeats: the test shows nothing", c.answered, len(c.sent), len(repeats))
			}
		})
	}
}
