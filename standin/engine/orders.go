package engine

import (
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/standin/internal/httpd"
)

// maxOrderRecords limits the orders recorded for tests; later orders are still
// applied or refused.
const maxOrderRecords = 4096

// OrderRecord is one order that the engine received. Applied is false if the engine
// refused it for a stale fencing token.
type OrderRecord struct {
	Order   engineapi.Order `json:"order"`
	Applied bool            `json:"applied"`
}

// handleOrder serves POST OrdersPath. A refused order is answered with
// CodeStaleFence.
func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var order engineapi.Order
	if !httpd.ReadJSON(ctx, &order) {
		return
	}
	if !e.applyOrder(order) {
		refuse(ctx, engineapi.CodeStaleFence, "", 0)
		return
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, engineapi.OrderReply{
		Engine:  e.cfg.ID,
		Applied: true,
		Fence:   order.Fence,
	})
}

// applyOrder records an order and makes it the current one. It returns false and
// changes nothing else if Config.CheckFence is set and the order's fencing token is
// below the highest one applied.
func (e *Engine) applyOrder(order engineapi.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	applied := !e.cfg.CheckFence || order.Fence >= e.fence
	if len(e.orders) < maxOrderRecords {
		e.orders = append(e.orders, OrderRecord{Order: order, Applied: applied})
	}
	if !applied {
		return false
	}
	e.fence = max(e.fence, order.Fence)
	e.current = order
	return true
}

// Orders returns the orders received since the start, oldest first, at most the
// first 4096.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord{}, e.orders...)
}

// CurrentOrder returns the last applied order, whose model and layers the engine
// holds. Before the first order it returns those of the Config.
func (e *Engine) CurrentOrder() engineapi.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}
