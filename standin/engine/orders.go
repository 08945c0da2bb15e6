package engine

import (
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/standin/internal/httpd"
)

// maxOrders bounds the orders remembered.
const maxOrders = 4096

// OrderRecord is one order the engine was given, and whether it obeyed.
type OrderRecord struct {
	Order   engineapi.Order `json:"order"`
	Applied bool            `json:"applied"`
}

// handleOrder obeys or refuses an order.
func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var order engineapi.Order
	if !httpd.ReadJSON(ctx, &order) {
		return
	}
	if !e.obey(order) {
		refuse(ctx, engineapi.CodeStaleFence, "", 0)
		return
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, engineapi.OrderReply{
		Engine:  e.cfg.ID,
		Applied: true,
		Fence:   order.Fence,
	})
}

// obey takes an order, unless fences are checked and its own is old.
func (e *Engine) obey(order engineapi.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	applied := !e.cfg.CheckFence || order.Fence >= e.fence
	if len(e.orders) < maxOrders {
		e.orders = append(e.orders, OrderRecord{Order: order, Applied: applied})
	}
	if !applied {
		return false
	}
	e.fence = max(e.fence, order.Fence)
	e.held = order
	return true
}

// Orders lists the orders given so far, the first 4096 of them.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord{}, e.orders...)
}

// CurrentOrder gives what the engine holds.
func (e *Engine) CurrentOrder() engineapi.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}
