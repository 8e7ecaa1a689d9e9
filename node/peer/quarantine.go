package peer

import (
	"time"

	"github.com/galenasail/galenasail/core/poison"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// encodeQuarantine copies an announcement to a message. The remaining time is rounded down
// to milliseconds, but not to 0, which stands for a quarantine that was cleared.
func encodeQuarantine(to *peerv1.Quarantine, a poison.Announcement) {
	to.Fingerprint, to.Round, to.RemainingMs = a.Fingerprint, a.Round, 0
	if a.Remaining > 0 {
		to.RemainingMs = uint32(max(1, a.Remaining/time.Millisecond))
	}
}

// EncodeQuarantines returns the messages of announcements.
func EncodeQuarantines(all []poison.Announcement) []*peerv1.Quarantine {
	out := make([]*peerv1.Quarantine, 0, len(all))
	for _, a := range all {
		q := &peerv1.Quarantine{}
		encodeQuarantine(q, a)
		out = append(out, q)
	}
	return out
}

// DecodeQuarantines returns the announcements of messages; nil for none.
func DecodeQuarantines(all []*peerv1.Quarantine) []poison.Announcement {
	var out []poison.Announcement
	for _, q := range all {
		remaining := time.Duration(q.GetRemainingMs()) * time.Millisecond
		out = append(out, poison.Announcement{Fingerprint: q.GetFingerprint(), Round: q.GetRound(), Remaining: remaining})
	}
	return out
}
