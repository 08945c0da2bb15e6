package caller

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/prefix"
	"mimosaarch.example/decide/router"
)

// bytesPerToken is the assumed average size of a token, for estimates.
const bytesPerToken = 4

// maxServiceNameBytes limits the length of a service name.
const maxServiceNameBytes = 128

// chatBody has the supported fields of a chat-completions request. Other fields
// are ignored.
type chatBody struct {
	Model     string              `json:"model"`
	Messages  []engineapi.Message `json:"messages"`
	MaxTokens *int                `json:"max_tokens"`
	Stream    bool                `json:"stream"`
	Priority  int                 `json:"priority"`
}

// parseChat parses the body of a chat request into x.call and arrived.
func (x *exchange) parseChat(ctx *fasthttp.RequestCtx, arrived *router.RequestArrived) *outcome.Error {
	var body chatBody
	if err := json.Unmarshal(x.body, &body); err != nil {
		return badRequest("body: " + err.Error())
	}
	chat, err := x.validateChat(&body)
	if err != nil {
		return err
	}
	x.call = call.New(x.id, x.server.options.Call)
	x.call.Chat = chat
	x.call.Stream = body.Stream
	arrived.Service = ids.Service(chat.Model)
	arrived.Priority = chat.Priority
	arrived.MaxTokens = chat.MaxTokens
	arrived.PromptTokens = estimatePromptTokens(chat.Messages)
	arrived.PrefixHash = prefixHash(chat)
	arrived.Fingerprint = fingerprint(ctx, x.body, arrived.Service, ChatPath)
	return nil
}

// validateChat validates the fields of a chat request and applies defaults.
func (x *exchange) validateChat(body *chatBody) (*engineapi.ChatRequest, *outcome.Error) {
	o := &x.server.options
	tokens := o.DefaultTokens
	if body.MaxTokens != nil {
		tokens = *body.MaxTokens
	}
	switch {
	case body.Model == "" || len(body.Model) > maxServiceNameBytes:
		return nil, badRequest("model: the name is missing or too long")
	case len(body.Messages) == 0:
		return nil, badRequest("messages: none given")
	case tokens < 1 || tokens > o.MaxTokens:
		return nil, badRequest("max_tokens: not within 1 to " + strconv.Itoa(o.MaxTokens))
	case body.Priority < 0 || body.Priority > o.MaxPriority:
		return nil, badRequest("priority: not within 0 to " + strconv.Itoa(o.MaxPriority))
	}
	for i, m := range body.Messages {
		if m.Role == "" {
			return nil, badRequest("messages: no role in message " + strconv.Itoa(i))
		}
	}
	return &engineapi.ChatRequest{
		Model:     body.Model,
		Messages:  body.Messages,
		MaxTokens: tokens,
		Priority:  body.Priority,
	}, nil
}

// estimatePromptTokens estimates the number of tokens of a prompt from its
// size.
func estimatePromptTokens(messages []engineapi.Message) int {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content)
	}
	return size/bytesPerToken + 1
}

// prefixHash returns a hash of the prompt prefix that similar requests share:
// the model and the first message, which is usually the system message. It
// returns 0 if there is only one message, because then there is no shared
// prefix.
func prefixHash(chat *engineapi.ChatRequest) uint64 {
	if len(chat.Messages) < 2 {
		return 0
	}
	return prefix.Hash(chat.Model, chat.Messages[0].Role, chat.Messages[0].Content)
}
