/**
 * Small stand-ins for the outside systems, and the callers that check answers against
 * them. Never part of the binary.
 */
package org.wisteriapost.standin;
