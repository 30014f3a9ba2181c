package gateway

import (
	"encoding/json"
	"net/http"

	restful "github.com/emicklei/go-restful/v3"

	"github.com/knapweedgw/knapweedgw/admission"
	"github.com/knapweedgw/knapweedgw/intake"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/routing"
)

// chatRequest is the part of an OpenAI chat completion request that the gateway reads. The body
// is forwarded unchanged.
type chatRequest struct {
	Model          string   `json:"model"`
	Messages       messages `json:"messages"`
	Stream         bool     `json:"stream"`
	PromptCacheKey string   `json:"prompt_cache_key"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (g *Gateway) serveModels(c *call, _ *restful.Request) error {
	c.kind = kindModels
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, name := range c.settings.Models(c.workspace.Team) {
		list.Data = append(list.Data, modelInfo{ID: name, Object: "model", OwnedBy: "knapweedgw"})
	}
	c.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(c.w).Encode(list)
}

func (g *Gateway) serveChat(c *call, _ *restful.Request) error {
	c.kind = kindChat
	body, err := g.readBody(c)
	if err != nil {
		return err
	}
	// What is decoded of it is at most as long: the model, the key of the cache or the opening.
	if !intake.Of(c.w, c.req).Acquire(int64(len(body))) {
		return nodeFull()
	}
	chat, err := parseChat(body)
	if err != nil {
		return err
	}
	model, ok := c.settings.Model(c.workspace.Team, chat.Model)
	if !ok {
		return problem.New(problem.UnknownModel, problem.NotRun, chat.Model)
	}
	c.chat = chatKey(c, chat)
	f := forwardRequest{
		admission: admission.Request{
			ID: c.id, Chat: c.chat, Workspace: c.workspace,
			Priority: priority(c.req.Header.Get(HeaderPriority)), Pool: model,
			Returning: chat.Messages.count > openingMessages,
		},
		method:     http.MethodPost,
		path:       chatPath,
		body:       body,
		chat:       true,
		parts:      chat.Messages.shared,
		stream:     chat.Stream,
		repeatable: true,
	}
	if c.req.Header.Get(HeaderLastEventID) != "" {
		return g.reconnect(c, f)
	}
	return g.serve(c, f)
}

func parseChat(body []byte) (chatRequest, error) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return chat, problem.New(problem.BadRequest, problem.NotRun, "body is not a chat completion request: "+err.Error())
	}
	if chat.Model == "" {
		return chat, problem.New(problem.BadRequest, problem.NotRun, "\"model\" is missing")
	}
	if chat.Messages.count == 0 {
		return chat, problem.New(problem.BadRequest, problem.NotRun, "\"messages\" is empty")
	}
	return chat, nil
}

// chatKey returns the routing key of a chat, a hash of its workspace and the caller's chat ID.
// Without a chat ID it uses prompt_cache_key, else the chat's opening messages, which stay the
// same in later requests of the chat. The same ID in different workspaces gives different keys.
func chatKey(c *call, chat chatRequest) uint64 {
	name := c.req.Header.Get(HeaderChatID)
	if name == "" {
		name = chat.PromptCacheKey
	}
	if name == "" {
		name = chat.Messages.opening
	}
	return routing.Hash(c.workspace.Team + "/" + c.workspace.Name + "/" + name)
}
