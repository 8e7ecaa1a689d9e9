// Package adminclient is an HTTP client for the admin interface of VMs.
package adminclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/node/explain"
	"github.com/galenasail/galenasail/node/query"
)

// Limits of one call to an admin address.
const (
	callTimeout      = 5 * time.Second
	maxResponseBytes = 32 << 20
	// maxPortRange limits the number of addresses in one port range.
	maxPortRange = 4096
)

// Client calls the admin interface of one VM.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for the admin address host:port.
func New(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: callTimeout}}
}

// Address returns the admin address, host:port.
func (c *Client) Address() string {
	return c.address
}

// State returns the state of the VM. It returns an error if the VM does not answer or
// its answer is not a state.
func (c *Client) State(ctx context.Context) (query.State, error) {
	var s query.State
	err := c.get(ctx, "state", &s)
	return s, trace.Wrap(err)
}

// Explain returns where the VM would send a request, and why. It returns an error if the VM
// does not answer or refuses the query.
func (c *Client) Explain(ctx context.Context, r explain.Request) (explain.Result, error) {
	parameters := url.Values{"method": {r.Method}, "url": {r.URL}, "from": {r.From}, "workspace": {r.Workspace}}
	var result explain.Result
	err := c.get(ctx, "explain?"+parameters.Encode(), &result)
	return result, trace.Wrap(err)
}

// Sample is a page of events and the local times between which the VM produced it.
type Sample struct {
	// Page is the answer of the VM.
	Page query.EventPage
	// Sent and Received are the local wall clock times at which the call was sent and
	// its answer received.
	Sent, Received time.Time
}

// Offset returns by how much the VM's wall clock is ahead of the local one, assuming
// that the VM read its clock halfway through the call, and the uncertainty of that
// offset, which is half the round trip.
func (s Sample) Offset() (offset, uncertainty time.Duration) {
	half := s.Received.Sub(s.Sent) / 2
	return s.Page.Wall.Sub(s.Sent.Add(half)), half
}

// Events returns all events after the given sequence number that the VM still keeps. It
// reads page after page; the local times are those of the last page. An error comes
// with the last complete page.
func (c *Client) Events(ctx context.Context, after uint64) (Sample, error) {
	var result Sample
	var collected []event.Event
	for {
		s := Sample{Sent: time.Now()}
		if err := c.get(ctx, fmt.Sprintf("events?after=%d", after), &s.Page); err != nil {
			return result, trace.Wrap(err)
		}
		s.Received = time.Now()
		collected = append(collected, s.Page.Events...)
		result = s
		if len(s.Page.Events) < query.MaxEvents {
			result.Page.Events = collected
			return result, nil
		}
		after = s.Page.Events[len(s.Page.Events)-1].Seq
	}
}

// get decodes the JSON answer for a path below /galenasail/v1/ into v.
func (c *Client) get(ctx context.Context, path string, v any) error {
	address := "http://" + c.address + "/galenasail/v1/" + path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "VM at %s did not answer", c.address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.BadParameter("VM at %s answered %s, want 200 OK", c.address, resp.Status)
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(v))
}

// ParseAddresses expands a list of host:port and host:first-last entries into
// addresses. It returns an error for a malformed entry, a port range that is not
// ascending or too long, and an empty list.
func ParseAddresses(specs []string) ([]string, error) {
	var out []string
	for _, spec := range specs {
		host, ports, err := net.SplitHostPort(spec)
		if err != nil {
			return nil, trace.BadParameter("address %q: %v", spec, err)
		}
		first, last, isRange := strings.Cut(ports, "-")
		if !isRange {
			out = append(out, spec)
			continue
		}
		firstPort, err1 := strconv.ParseUint(first, 10, 16)
		lastPort, err2 := strconv.ParseUint(last, 10, 16)
		if err1 != nil || err2 != nil || firstPort > lastPort || lastPort-firstPort >= maxPortRange {
			return nil, trace.BadParameter("address %q: the port range is not first-last with at most 4096 ports", spec)
		}
		for port := firstPort; port <= lastPort; port++ {
			out = append(out, net.JoinHostPort(host, strconv.FormatUint(port, 10)))
		}
	}
	if len(out) == 0 {
		return nil, trace.BadParameter("no admin address was given")
	}
	return out, nil
}
