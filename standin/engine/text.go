package engine

import (
	"hash/fnv"
	"strconv"
	"strings"

	"mimosaarch.example/core/engineapi"
)

// vocabularySize is the number of distinct token texts.
const vocabularySize = 1000

// Text returns the text of the token at index of the answer to a prompt, such as
// "w17 ". It depends only on the messages and the index, so that tests can predict it.
func Text(messages []engineapi.Message, index int) string {
	return tokenText(hashPrompt(messages), index)
}

// Answer returns the complete answer of n tokens to a prompt.
func Answer(messages []engineapi.Message, n int) string {
	var b strings.Builder
	promptHash := hashPrompt(messages)
	for i := range n {
		b.WriteString(tokenText(promptHash, i))
	}
	return b.String()
}

// tokenText returns the text of the token at index of the answer to the prompt with
// the given hash.
func tokenText(promptHash uint64, index int) string {
	mixed := splitmix64(promptHash + uint64(index))
	return "w" + strconv.FormatUint(mixed%vocabularySize, 10) + " "
}

// hashPrompt returns the FNV-1a hash of the roles and contents of a prompt.
func hashPrompt(messages []engineapi.Message) uint64 {
	h := fnv.New64a()
	for _, m := range messages {
		_, _ = h.Write([]byte(m.Role))
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(m.Content))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// splitmix64 applies one step of the SplitMix64 generator, which spreads the bits of x.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// promptTokens returns the number of prompt tokens of a request: one per word of its
// messages and one per delivered token.
func promptTokens(req *engineapi.ChatRequest) int {
	n := len(req.Delivered)
	for _, m := range req.Messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}

// promptHas reports whether a message of the prompt contains text.
func promptHas(req *engineapi.ChatRequest, text string) bool {
	for _, m := range req.Messages {
		if strings.Contains(m.Content, text) {
			return true
		}
	}
	return false
}
