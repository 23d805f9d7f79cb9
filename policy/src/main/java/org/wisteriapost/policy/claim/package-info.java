/**
 * Idempotency keys of calls that may run at most once. A key is claimed in the platform
 * before its call is sent; the claims of many keys share one object.
 */
package org.wisteriapost.policy.claim;
