package yuccaedge

import (
	"context"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
)

// Reservations returns the reservations that this entry holds, the oldest first.
func (e *Edge) Reservations(ctx context.Context) ([]yuccabroker.ReservationStatus, error) {
	return yuccaquery.Do(ctx, e.postQuery, func(e *Edge) []yuccabroker.ReservationStatus { return e.broker.Reservations(time.Now()) })
}
