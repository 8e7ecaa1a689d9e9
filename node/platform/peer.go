package platform

import (
	"context"
	"time"

	"github.com/galenasail/galenasail/core/config"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// Limits of FetchConfig.
const (
	// MaxFetchDocumentBytes bounds the total size of the documents in one response.
	// The caller fetches the rest with further calls.
	MaxFetchDocumentBytes = 4 << 20
	// MaxFetchBytes bounds a complete response: index, VM list, documents and
	// encoding. The response limit of package peer is higher, 32 MiB.
	MaxFetchBytes = MaxFetchDocumentBytes + 2*document.MaxValueBytes + 1<<20
	// maxKnownDigests bounds the number of digests in a request. An index of 1 MB
	// has fewer documents.
	maxKnownDigests = 16384
)

// PeerFetcher calls FetchConfig of a peer. Implementations are safe for
// concurrent use, return when ctx ends, and bound the size of a response by a limit
// of at least MaxFetchBytes.
type PeerFetcher interface {
	// FetchConfig calls FetchConfig of the peer at address, host:port.
	FetchConfig(ctx context.Context, address string, req *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error)
}

// FetchConfig returns the index, VM list and documents of this VM, without those
// whose digests are in the request. It also does so before this VM is ready, because
// VMs that start at the same time depend on each other's configuration.
func (r *Reader) FetchConfig(_ context.Context, req *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	if len(req.GetKnownDigests()) > maxKnownDigests {
		return nil, fault.New(fault.TooLarge, "request has %d known digests, the limit is %d", len(req.GetKnownDigests()), maxKnownDigests)
	}
	s := r.state.Load()
	a := config.NewFetchResponse(s.snapshot, s.indexRaw, s.listRaw, req.GetKnownDigests(), MaxFetchDocumentBytes)
	res := &peerv1.FetchConfigResponse{Index: a.Index, Vms: a.List, PlatformAgeMs: EncodeAge(r.now(), s.ownResponse)}
	for name, raw := range a.Documents {
		res.Documents = append(res.Documents, &peerv1.NamedDocument{Name: name, Content: raw})
	}
	return res, nil
}

// unknownAgeMs stands for the age of a platform response when there was none.
const unknownAgeMs = ^uint32(0)

// EncodeAge returns the age of a platform response in milliseconds as FetchConfig
// responses carry it, rounded up; unknownAgeMs for the zero time.
func EncodeAge(now, response time.Time) uint32 {
	if response.IsZero() {
		return unknownAgeMs
	}
	age := max(0, now.Sub(response)+time.Millisecond-1).Milliseconds()
	return uint32(min(age, int64(unknownAgeMs)))
}

// DecodeAge decodes an age that EncodeAge returned; ok is false when there was no
// platform response.
func DecodeAge(ms uint32) (age time.Duration, ok bool) {
	return time.Duration(ms) * time.Millisecond, ms != unknownAgeMs
}

// fromProto converts a FetchConfig response. It omits values larger than
// document.MaxValueBytes.
func fromProto(res *peerv1.FetchConfigResponse) config.FetchResponse {
	a := config.FetchResponse{Documents: document.Content{}}
	a.PlatformAge, a.PlatformKnown = DecodeAge(res.GetPlatformAgeMs())
	if len(res.GetIndex()) <= document.MaxValueBytes {
		a.Index = res.GetIndex()
	}
	if len(res.GetVms()) <= document.MaxValueBytes {
		a.List = res.GetVms()
	}
	for _, d := range res.GetDocuments() {
		if len(d.GetContent()) <= document.MaxValueBytes {
			a.Documents[d.GetName()] = d.GetContent()
		}
	}
	return a
}
