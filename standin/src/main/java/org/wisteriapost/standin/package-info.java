/**
 * Small stand-ins for external systems, and a load generator that checks the responses.
 * Not part of the product binary.
 */
package org.wisteriapost.standin;
