/**
 * Calls over Undertow's client.
 */
package org.wisteriapost.protocol.http;
