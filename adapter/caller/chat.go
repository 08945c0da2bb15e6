package caller

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// bytesPerToken estimates the tokens of a prompt.
const bytesPerToken = 4

// maxService is the most bytes of a service's name.
const maxService = 128

// chatBody is the part of a chat-completions request that is used; other
// fields are ignored.
type chatBody struct {
	Model     string              `json:"model"`
	Messages  []engineapi.Message `json:"messages"`
	MaxTokens *int                `json:"max_tokens"`
	Stream    bool                `json:"stream"`
	Priority  int                 `json:"priority"`
}

// readChat makes the call of a model request.
func (x *exchange) readChat(ctx *fasthttp.RequestCtx, arrive *router.RequestArrived) *outcome.Error {
	var body chatBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		return badRequest("body: " + err.Error())
	}
	chat, err := x.checkChat(&body)
	if err != nil {
		return err
	}
	x.call = call.New(x.id, x.server.options.Call)
	x.call.Chat = chat
	x.call.Stream = body.Stream
	arrive.Service = ids.Service(chat.Model)
	arrive.Priority = chat.Priority
	arrive.MaxTokens = chat.MaxTokens
	arrive.PromptTokens = promptTokens(chat.Messages)
	arrive.PrefixHash = prefixHash(chat)
	arrive.Fingerprint = fingerprint(ctx, arrive.Service, ChatPath)
	return nil
}

// checkChat checks the fields of a chat request.
func (x *exchange) checkChat(body *chatBody) (*engineapi.ChatRequest, *outcome.Error) {
	o := &x.server.options
	tokens := o.DefaultTokens
	if body.MaxTokens != nil {
		tokens = *body.MaxTokens
	}
	switch {
	case body.Model == "" || len(body.Model) > maxService:
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

// promptTokens estimates the work of a prompt.
func promptTokens(messages []engineapi.Message) int {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content)
	}
	return size/bytesPerToken + 1
}

// prefixHash names the prefix that requests of one kind share: the model and
// the first of several messages, commonly the system's. A lone message has
// no prefix and gives 0.
func prefixHash(chat *engineapi.ChatRequest) uint64 {
	if len(chat.Messages) < 2 {
		return 0
	}
	d := xxhash.New()
	for _, part := range []string{chat.Model, chat.Messages[0].Role, chat.Messages[0].Content} {
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part) // never fails
	}
	return d.Sum64()
}
