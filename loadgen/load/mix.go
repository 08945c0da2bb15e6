package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/loadgen/client"
)

// Sizes is a distribution of whole numbers from Min to Max. With a Mean above
// Min it is Min plus an exponential distribution, and larger numbers count as
// Max; otherwise it is uniform.
type Sizes struct {
	Min, Max int
	Mean     float64
}

// draw returns a random number of the distribution.
func (s Sizes) draw(random *rand.Rand) int {
	if s.Max <= s.Min {
		return s.Min
	}
	if s.Mean <= float64(s.Min) {
		return s.Min + random.IntN(s.Max-s.Min+1)
	}
	drawn := s.Min + int(math.Round(random.ExpFloat64()*(s.Mean-float64(s.Min))))
	return min(drawn, s.Max)
}

// Account is one client account that sends requests.
type Account struct {
	// Key is its bearer key; if empty, its requests have none.
	Key string
	// Weight is its share of the requests, relative to the weights of the
	// other accounts. Weights below 1 count as 1.
	Weight int
}

// Mix describes the requests of a run. The same Mix and seed generate the same
// requests.
type Mix struct {
	// Model and Plain are the services called.
	Model, Plain ids.Service
	// PlainShare is the share of requests that call the plain service, 0 to 1.
	PlainShare float64
	// WriteShare is the share of plain calls that are writes (POST of a
	// booking), 0 to 1; the others read the free slots.
	WriteShare float64
	// KeyedShare is the share of model requests with an idempotency key, 0 to
	// 1. Bookings always have one.
	KeyedShare float64
	// PromptWords and MaxTokens are the sizes of model requests: the words of
	// the prompt and the most tokens of the answer.
	PromptWords, MaxTokens Sizes
	// Accounts send the requests, each by its weight; if empty, one account
	// without a bearer key sends all.
	Accounts []Account
	// RunID distinguishes the idempotency keys, bookings and prompts of this
	// run from those of other runs.
	RunID string
}

// Paths of the plain service.
const (
	slotsPath    = "/slots"
	bookingsPath = "/bookings"
)

// item is one request to send. Either chat or plain is set.
type item struct {
	// number counts the requests of the source, from 0.
	number int
	// account is an index into Mix.Accounts.
	account int
	chat    *client.Chat
	plain   *client.PlainCall
}

// source generates the requests of a mix.
type source struct {
	mix    Mix
	random *rand.Rand
	count  int
	// totalWeight is the sum of the accounts' weights.
	totalWeight int
}

// newSource returns a source of a mix's requests, which depend only on the mix
// and the seed.
func newSource(mix Mix, seed uint64) *source {
	if len(mix.Accounts) == 0 {
		mix.Accounts = []Account{{Weight: 1}}
	}
	s := &source{mix: mix, random: newRandom(seed, itemStream)}
	for _, a := range mix.Accounts {
		s.totalWeight += max(a.Weight, 1)
	}
	return s
}

// Streams of random numbers from the same seed. Arrival times have their own,
// so that they don't depend on the mix.
const (
	itemStream = iota
	arrivalStream
)

// newRandom returns the generator of one stream of random numbers.
func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// next generates the next request.
func (s *source) next() item {
	it := item{number: s.count, account: s.account()}
	s.count++
	if s.random.Float64() < s.mix.PlainShare {
		it.plain = s.plain(it.number)
		return it
	}
	it.chat = s.chat(it.number)
	return it
}

// account picks an account at random by weight and returns its index.
func (s *source) account() int {
	rest := s.random.IntN(s.totalWeight)
	for i, a := range s.mix.Accounts {
		rest -= max(a.Weight, 1)
		if rest < 0 {
			return i
		}
	}
	return 0
}

// plain generates a call of the plain service: a read, or a booking with an
// idempotency key.
func (s *source) plain(number int) *client.PlainCall {
	if s.random.Float64() >= s.mix.WriteShare {
		return &client.PlainCall{Service: s.mix.Plain, Method: "GET", Path: slotsPath}
	}
	return &client.PlainCall{
		Service: s.mix.Plain,
		Method:  "POST",
		Path:    bookingsPath,
		Body:    fmt.Appendf(nil, `{"run":%q,"booking":%d}`, s.mix.RunID, number),
		Key:     s.key(number),
	}
}

// chat generates a model request, with or without an idempotency key.
func (s *source) chat(number int) *client.Chat {
	c := &client.Chat{
		Model:     s.mix.Model,
		Messages:  []engineapi.Message{{Role: "user", Content: s.prompt(number)}},
		MaxTokens: max(s.mix.MaxTokens.draw(s.random), 1),
	}
	if s.random.Float64() < s.mix.KeyedShare {
		c.Key = s.key(number)
	}
	return c
}

// key returns the idempotency key of a request, unique among all runs.
func (s *source) key(number int) string { return s.mix.RunID + "-" + strconv.Itoa(number) }

// words is the vocabulary of prompts.
var words = [...]string{"slot", "teacher", "class", "evening", "parent", "booking", "thursday", "room", "ticket", "quarry"}

// prompt generates a prompt. Its first word is unique among all requests and
// runs.
func (s *source) prompt(number int) string {
	n := s.mix.PromptWords.draw(s.random)
	var b strings.Builder
	b.WriteString(s.mix.RunID + "-" + strconv.Itoa(number))
	for range n - 1 {
		b.WriteString(" " + words[s.random.IntN(len(words))])
	}
	return b.String()
}

// meansSampleSize is the number of requests generated to estimate a mix's means.
const meansSampleSize = 20000

// Means are the mean sizes of a mix's requests.
type Means struct {
	// ModelShare is the share of requests that are model requests.
	ModelShare float64
	// Steps is the mean number of token steps of a model request, those for
	// its prompt included. Tokens is the mean of its MaxTokens.
	Steps, Tokens float64
}

// Means estimates the mean sizes from a sample of generated requests. Each step
// for the prompt processes promptChunk words. Without model requests all means
// are 0.
func (m Mix) Means(seed uint64, promptChunk int) Means {
	s := newSource(m, seed)
	chats, steps, tokens := 0, 0, 0
	for range meansSampleSize {
		it := s.next()
		if it.chat == nil {
			continue
		}
		chats++
		tokens += it.chat.MaxTokens
		steps += it.chat.MaxTokens + promptSteps(it.chat, promptChunk)
	}
	if chats == 0 {
		return Means{}
	}
	return Means{
		ModelShare: float64(chats) / meansSampleSize,
		Steps:      float64(steps) / float64(chats),
		Tokens:     float64(tokens) / float64(chats),
	}
}

// promptSteps returns the number of steps that process a prompt, chunk words in
// each; at least 1.
func promptSteps(c *client.Chat, chunk int) int {
	n := 0
	for _, m := range c.Messages {
		n += len(strings.Fields(m.Content))
	}
	return max(1, (n+chunk-1)/max(chunk, 1))
}
