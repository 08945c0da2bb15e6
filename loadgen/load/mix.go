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

// Sizes is a distribution of whole numbers from Min to Max. With a Mean it is
// exponential above Min and cut at Max, with a long tail; without one it is
// uniform.
type Sizes struct {
	Min, Max int
	Mean     float64
}

// draw draws a number.
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
	// Key is its bearer key; empty sends none.
	Key string
	// Weight is its share of the requests.
	Weight int
}

// Mix says what is sent. The same Mix and seed give the same requests.
type Mix struct {
	// Model and Plain are the services called.
	Model, Plain ids.Service
	// PlainShare is the part of requests that call the plain service, 0 to 1.
	PlainShare float64
	// WriteShare is the part of plain calls that book (POST), 0 to 1; the
	// others read the timetable.
	WriteShare float64
	// KeyedShare is the part of model requests with an idempotency key, 0 to
	// 1. Bookings always have one.
	KeyedShare float64
	// PromptWords and MaxTokens size model requests.
	PromptWords, MaxTokens Sizes
	// Accounts share the requests by weight; none means one without a key.
	Accounts []Account
	// RunID makes idempotency keys and bookings unique among runs.
	RunID string
}

// Paths of the plain service.
const (
	slotsPath    = "/slots"
	bookingsPath = "/bookings"
)

// item is one request to send. One of chat and plain is set.
type item struct {
	number  int
	account int
	chat    *client.Chat
	plain   *client.PlainCall
}

// source draws requests.
type source struct {
	mix    Mix
	random *rand.Rand
	count  int
	// total is the accounts' weights together.
	total int
}

// newSource makes a source of requests.
func newSource(mix Mix, seed uint64) *source {
	if len(mix.Accounts) == 0 {
		mix.Accounts = []Account{{Weight: 1}}
	}
	s := &source{mix: mix, random: newRandom(seed, itemStream)}
	for _, a := range mix.Accounts {
		s.total += max(a.Weight, 1)
	}
	return s
}

// Streams of random numbers drawn from one seed.
const (
	itemStream = iota
	arrivalStream
)

// newRandom makes the source of one stream of random numbers.
func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// next draws a request.
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

// account draws an account by weight.
func (s *source) account() int {
	at := s.random.IntN(s.total)
	for i, a := range s.mix.Accounts {
		at -= max(a.Weight, 1)
		if at < 0 {
			return i
		}
	}
	return 0
}

// plain makes a call of the plain service.
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

// chat makes a model request.
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

// key makes an idempotency key.
func (s *source) key(number int) string { return s.mix.RunID + "-" + strconv.Itoa(number) }

// words are those that prompts are made of.
var words = [...]string{"slot", "teacher", "class", "evening", "parent", "booking", "thursday", "room", "ticket", "quarry"}

// prompt makes a prompt that no other request of the run has.
func (s *source) prompt(number int) string {
	n := s.mix.PromptWords.draw(s.random)
	var b strings.Builder
	b.WriteString(s.mix.RunID + "-" + strconv.Itoa(number))
	for range n - 1 {
		b.WriteString(" " + words[s.random.IntN(len(words))])
	}
	return b.String()
}

// sampled is the requests drawn to work out a mix's means.
const sampled = 20000

// Means are the mean sizes of a mix's requests.
type Means struct {
	// ModelShare is the part of requests that are model requests.
	ModelShare float64
	// Steps and Tokens are a model request's token steps, its prompt
	// included, and its tokens.
	Steps, Tokens float64
}

// Means works out the mean sizes from a sample. A step of the prompt takes
// promptChunk words.
func (m Mix) Means(seed uint64, promptChunk int) Means {
	s := newSource(m, seed)
	chats, steps, tokens := 0, 0, 0
	for range sampled {
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
		ModelShare: float64(chats) / sampled,
		Steps:      float64(steps) / float64(chats),
		Tokens:     float64(tokens) / float64(chats),
	}
}

// promptSteps counts the steps that a prompt takes.
func promptSteps(c *client.Chat, chunk int) int {
	n := 0
	for _, m := range c.Messages {
		n += len(strings.Fields(m.Content))
	}
	return max(1, (n+chunk-1)/max(chunk, 1))
}
