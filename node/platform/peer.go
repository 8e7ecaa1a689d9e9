package platform

import (
	"context"
	"time"

	"github.com/galenasail/galenasail/core/config"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// Bounds of FetchConfig.
const (
	// MaxFetchDocumentBytes bounds the documents of one response. The caller
	// asks again for the rest.
	MaxFetchDocumentBytes = 4 << 20
	// MaxFetchBytes bounds a whole response: index, list, documents and framing.
	// Clients refuse longer ones.
	MaxFetchBytes = MaxFetchDocumentBytes + 2*document.MaxValueBytes + 1<<20
	// maxKnownDigests bounds the digests in a request. An index of 1 MB names
	// fewer documents.
	maxKnownDigests = 16384
)

// PeerFetcher calls FetchConfig of a peer. Implementations are safe for
// concurrent use, return when ctx ends and refuse responses above MaxFetchBytes.
type PeerFetcher interface {
	// FetchConfig calls the peer at address, host:port.
	FetchConfig(ctx context.Context, address string, req *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error)
}

// FetchConfig answers a peer with the index, VM list and documents of this VM,
// without those whose digests the peer knows. It answers before this VM is
// ready too, because VMs that start together depend on each other.
func (r *Reader) FetchConfig(_ context.Context, req *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	if len(req.GetKnownDigests()) > maxKnownDigests {
		return nil, fault.New(fault.TooLarge, "%d known digests, at most %d are allowed", len(req.GetKnownDigests()), maxKnownDigests)
	}
	s := r.state.Load()
	a := config.NewFetchResponse(s.snapshot, s.indexRaw, s.listRaw, req.GetKnownDigests(), MaxFetchDocumentBytes)
	res := &peerv1.FetchConfigResponse{Index: a.Index, Vms: a.List, PlatformAgeMs: AgeMs(r.now(), s.own)}
	for name, raw := range a.Documents {
		res.Documents = append(res.Documents, &peerv1.NamedDocument{Name: name, Content: raw})
	}
	return res, nil
}

// unknownAgeMs is the age of a platform that never answered.
const unknownAgeMs = ^uint32(0)

// AgeMs returns the age of a platform response in milliseconds for heartbeats,
// rounded up; the maximum when there was none.
func AgeMs(now, response time.Time) uint32 {
	if response.IsZero() {
		return unknownAgeMs
	}
	age := max(0, now.Sub(response)+time.Millisecond-1).Milliseconds()
	return uint32(min(age, int64(unknownAgeMs)))
}

// AgeOf reads an age that AgeMs wrote; ok is false when there was no response.
func AgeOf(ms uint32) (age time.Duration, ok bool) {
	return time.Duration(ms) * time.Millisecond, ms != unknownAgeMs
}

// answerOf converts a response. It drops what exceeds the bounds.
func answerOf(res *peerv1.FetchConfigResponse) config.FetchResponse {
	a := config.FetchResponse{Documents: document.Content{}}
	a.PlatformAge, a.PlatformKnown = AgeOf(res.GetPlatformAgeMs())
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
