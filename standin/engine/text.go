package engine

import (
	"hash/fnv"
	"strconv"
	"strings"

	"mimosaarch.example/core/engineapi"
)

// vocabulary is the count of different token texts.
const vocabulary = 1000

// Text gives the text of a token of the answer to a prompt, such as "w17 ". It
// depends on the messages and the index alone.
func Text(messages []engineapi.Message, index int) string {
	return tokenText(hashPrompt(messages), index)
}

// Answer gives the whole answer of n tokens to a prompt.
func Answer(messages []engineapi.Message, n int) string {
	var b strings.Builder
	prompt := hashPrompt(messages)
	for i := range n {
		b.WriteString(tokenText(prompt, i))
	}
	return b.String()
}

// tokenText gives the text of a token of the answer to a hashed prompt.
func tokenText(prompt uint64, index int) string {
	mixed := mix(prompt + uint64(index))
	return "w" + strconv.FormatUint(mixed%vocabulary, 10) + " "
}

// hashPrompt hashes the roles and contents of a prompt.
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

// mix spreads the bits of x (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// promptTokens counts a request's prompt, delivered tokens included: a token
// is a word.
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
