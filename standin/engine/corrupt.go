package engine

import (
	"slices"

	"mimosaarch.example/core/engineapi"
)

// CorruptKind is a way to spoil a stream.
type CorruptKind string

// Ways to spoil a stream.
const (
	// SkipLayer leaves a layer out of a token's steps.
	SkipLayer CorruptKind = "skip_layer"
	// RepeatLayer gives a token's last step twice.
	RepeatLayer CorruptKind = "repeat_layer"
	// SkipToken leaves a token out.
	SkipToken CorruptKind = "skip_token"
	// RepeatToken sends a token twice.
	RepeatToken CorruptKind = "repeat_token"
	// Nonsense sends an event that is not JSON in place of a token.
	Nonsense CorruptKind = "nonsense"
	// Truncate closes the connection after a token; the run goes on.
	Truncate CorruptKind = "truncate"
	// Reorder sends a token after the one that follows it.
	Reorder CorruptKind = "reorder"
	// StallStream stops before a token, without closing, until cancelled.
	StallStream CorruptKind = "stall"
)

// Corrupt spoils the next Count streams at the token At (counted from the
// stream's first; the last one when it has fewer).
type Corrupt struct {
	Kind  CorruptKind `json:"kind"`
	Count int         `json:"count"`
	At    int         `json:"at"`
}

// nonsense is the event sent by Nonsense.
const nonsense = "data: {\"nonsense\n\n"

// corruption spoils one stream; nil spoils nothing. It is not safe for
// concurrent use.
type corruption struct {
	kind     CorruptKind
	at, last int
	held     []event
}

// apply gives the events for the n-th token of a stream.
func (c *corruption) apply(token engineapi.Token, n int) []event {
	plain := tokenEvent(token)
	if c == nil {
		return []event{plain}
	}
	if n != c.at {
		out := append([]event{plain}, c.held...)
		c.held = nil
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
		return []event{plain, plain}
	case Nonsense:
		return []event{{token: token, data: []byte(nonsense)}}
	case Truncate:
		plain.cut = true
	case StallStream:
		plain.stalls = true
	case Reorder:
		if n < c.last {
			c.held = []event{plain}
			return nil
		}
	}
	return []event{plain}
}

// skipLayer leaves the first layer of the last step out.
func skipLayer(token engineapi.Token) engineapi.Token {
	token.Steps = slices.Clone(token.Steps)
	last := len(token.Steps) - 1
	token.Steps[last].First++
	if token.Steps[last].First > token.Steps[last].Last {
		token.Steps = token.Steps[:last]
	}
	return token
}

// repeatLayer gives the last step twice.
func repeatLayer(token engineapi.Token) engineapi.Token {
	last := token.Steps[len(token.Steps)-1]
	token.Steps = append(slices.Clone(token.Steps), last)
	return token
}
