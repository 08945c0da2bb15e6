package engine

import (
	"slices"

	"mimosaarch.example/core/engineapi"
)

// CorruptKind is a kind of corruption of a stream.
type CorruptKind string

// Kinds of corruption of a stream.
const (
	// SkipLayer omits one layer from the steps of a token.
	SkipLayer CorruptKind = "skip_layer"
	// RepeatLayer lists the last step of a token twice.
	RepeatLayer CorruptKind = "repeat_layer"
	// SkipToken omits a token.
	SkipToken CorruptKind = "skip_token"
	// RepeatToken sends a token twice.
	RepeatToken CorruptKind = "repeat_token"
	// Nonsense sends an event that is not JSON in place of a token.
	Nonsense CorruptKind = "nonsense"
	// Truncate closes the connection after a token; the run continues.
	Truncate CorruptKind = "truncate"
	// Reorder sends a token after the one that follows it.
	Reorder CorruptKind = "reorder"
	// StallStream stops before a token until the request is cancelled; the
	// connection stays open.
	StallStream CorruptKind = "stall"
)

// Corrupt corrupts the next Count streams at token At, counted from 0 at the first
// token of the stream, or at the last token of a shorter stream.
type Corrupt struct {
	Kind  CorruptKind `json:"kind"`
	Count int         `json:"count"`
	At    int         `json:"at"`
}

// nonsense is the invalid event that Nonsense sends.
const nonsense = "data: {\"nonsense\n\n"

// corruption corrupts one stream at token at; nil changes nothing. last is the number
// of the last token, and delayed holds an event that Reorder postpones. It is not
// safe for concurrent use.
type corruption struct {
	kind     CorruptKind
	at, last int
	delayed  []event
}

// apply returns the events to send for token number n of the stream, counted from 0.
func (c *corruption) apply(token engineapi.Token, n int) []event {
	ev := tokenEvent(token)
	if c == nil {
		return []event{ev}
	}
	if n != c.at {
		out := append([]event{ev}, c.delayed...)
		c.delayed = nil
		return out
	}
	switch c.kind {
	case SkipLayer:
		return []event{tokenEvent(skipLayer(token))}
	case RepeatLayer:
		return []event{tokenEvent(repeatLayer(token))}
	case SkipToken:
		return nil
	case RepeatToken:
		return []event{ev, ev}
	case Nonsense:
		return []event{{token: token, data: []byte(nonsense)}}
	case Truncate:
		ev.cutAfter = true
	case StallStream:
		ev.stallBefore = true
	case Reorder:
		if n < c.last {
			c.delayed = []event{ev}
			return nil
		}
	}
	return []event{ev}
}

// skipLayer omits the first layer of the last step.
func skipLayer(token engineapi.Token) engineapi.Token {
	token.Steps = slices.Clone(token.Steps)
	last := len(token.Steps) - 1
	token.Steps[last].First++
	if token.Steps[last].First > token.Steps[last].Last {
		token.Steps = token.Steps[:last]
	}
	return token
}

// repeatLayer lists the last step twice.
func repeatLayer(token engineapi.Token) engineapi.Token {
	last := token.Steps[len(token.Steps)-1]
	token.Steps = append(slices.Clone(token.Steps), last)
	return token
}
